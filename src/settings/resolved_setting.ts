/** The value of a setting and its source. */
export interface ResolvedSetting {
  readonly flag: string;
  /** Value before validation; undefined if there is no default. */
  readonly value: unknown;
  /** Source of the value: "--FLAG", the name of the variable, or "default". */
  readonly place: string;
  /** Whether the value must not be displayed. */
  readonly secret: boolean;
}
