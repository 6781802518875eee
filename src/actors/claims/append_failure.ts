/** Why an append to a partition's log failed. */
export enum AppendFailure {
  /**
   * Another owner has written since the log was loaded; nothing was appended.
   */
  Fenced = 'fenced',
  /** The store is unreachable; nothing was appended. */
  Unavailable = 'unavailable',
  /**
   * Store responses were lost; the events may have been appended, or may still
   * be.
   */
  Unknown = 'unknown',
}
