import {z} from 'zod';
import {profileSchema} from './profile_schema';

/** Returns the JSON Schema of one profile document. */
export function createProfileJsonSchema(): object {
  return {
    title: 'sesamefront profile',
    ...z.toJSONSchema(profileSchema, {io: 'input'}),
  };
}
