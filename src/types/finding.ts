/** A validation error with its location in the input. */
export interface Finding {
  /** Location: flag, environment variable, file:line:column or field path. */
  readonly place: string;
  readonly message: string;
}
