/** One field in which two configurations differ. */
export interface FieldDifference {
  /** Path of the field, such as "profiles.NAME.deadlineMs". */
  readonly place: string;
  /** JSON text before; undefined if the field was not there. */
  readonly before?: string;
  /** JSON text after; undefined if the field is gone. */
  readonly after?: string;
}
