/** One thing wrong with an input, with the place where it stands. */
export interface Finding {
  /** Flag, environment variable, file:line:column or field path. */
  readonly place: string;
  readonly message: string;
}
