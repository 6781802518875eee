/** Outcome of a submission. */
export enum SubmitOutcome {
  /** The workflow is stored. */
  Accepted = 'accepted',
  /** Not stored and never run: the workflow could not be completed in time. */
  Refused = 'refused',
  /** Not stored and never run: the store is unavailable. */
  Unavailable = 'unavailable',
  /** Not stored and never run: the id belongs to a workflow of others. */
  Taken = 'taken',
  /** Not stored and never run: its id was cancelled before. */
  Withdrawn = 'withdrawn',
  /** The workflow may be stored; it is safe to submit the same id again. */
  Unknown = 'unknown',
}
