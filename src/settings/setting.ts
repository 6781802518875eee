import {z} from 'zod';
import {Settings} from './settings';

/** One setting: its flag, its check and its description. */
export interface Setting {
  /** Name in the settings. */
  readonly key: keyof Settings;
  /** Flag without dashes; the variable is SESAMEFRONT_ and this in capitals. */
  readonly flag: string;
  readonly describe: string;
  /** Checks and converts the value as it was given. */
  readonly schema: z.ZodType;
  /** Value that is used if none is given. */
  readonly defaultValue?: string | number | readonly string[];
  /** True if the value may be given several times. */
  readonly repeatable?: boolean;
  /** True if the help text leaves it out. */
  readonly hidden?: boolean;
  /** True if the value must not be shown. */
  readonly secret?: boolean;
}
