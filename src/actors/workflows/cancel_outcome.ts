/** Outcome of a cancellation request. */
export enum CancelOutcome {
  Cancelled = 'cancelled',
  /** None is stored, and submissions of the id in transit never run. */
  Withdrawn = 'withdrawn',
  /** The id belongs to a workflow that the caller may not know of. */
  NotFound = 'not-found',
  Unavailable = 'unavailable',
  Unknown = 'unknown',
}
