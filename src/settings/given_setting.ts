/** A setting's value with the place that it came from. */
export interface ResolvedSetting {
  readonly flag: string;
  readonly value: unknown;
  /** "--FLAG", the variable's name, or "default". */
  readonly place: string;
  readonly secret: boolean;
}
