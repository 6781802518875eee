/** Why events could not be added to a partition's log. */
export enum AppendFailure {
  /** Another owner has written since: nothing was added. */
  Fenced = 'fenced',
  /** The store could not be reached: nothing was added. */
  Unavailable = 'unavailable',
  /** Answers were lost: the events may have been added, or be added later. */
  Unknown = 'unknown',
}
