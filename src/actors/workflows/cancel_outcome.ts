/** Outcome of a cancellation request. */
export enum CancelOutcome {
  Cancelled = 'cancelled',
  NotFound = 'not-found',
  Unavailable = 'unavailable',
  Unknown = 'unknown',
}
