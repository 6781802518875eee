/** A field in which two configurations differ. */
export interface FieldDifference {
  /** Path of the field, such as "profiles.NAME.deadlineMs". */
  readonly place: string;
  /** Old value as JSON text; undefined if the field did not exist. */
  readonly before?: string;
  /** New value as JSON text; undefined if the field was removed. */
  readonly after?: string;
}
