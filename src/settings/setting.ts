import {z} from 'zod';
import {Settings} from './settings';

/** Definition of a setting. */
export interface Setting {
  /** Property of `Settings` that holds the value. */
  readonly key: keyof Settings;
  /**
   * Flag without leading dashes. The name of the environment variable is the
   * flag in upper case with underscores, prefixed with SESAMEFRONT_.
   */
  readonly flag: string;
  /** Description in the help text. */
  readonly describe: string;
  /** Validates and converts the value of the flag or variable. */
  readonly schema: z.ZodType;
  /** Value if neither the flag nor the variable is set. */
  readonly defaultValue?: string | number | readonly string[];
  /**
   * Whether the flag may be repeated; the variable is then a comma-separated
   * list.
   */
  readonly repeatable?: boolean;
  /** Whether the setting is omitted from the help text. */
  readonly hidden?: boolean;
  /** Whether the value must not be displayed. */
  readonly secret?: boolean;
}
