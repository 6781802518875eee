import {z} from 'zod';
import {profileSchema} from './profile_schema';

/** Creates the JSON Schema of a profile document. */
export function createProfileJsonSchema(): object {
  return {
    title: 'sesamefront profile',
    ...z.toJSONSchema(profileSchema, {io: 'input'}),
  };
}
