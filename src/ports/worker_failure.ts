/** What went wrong between an entry host and a worker. */
export enum WorkerFailure {
  /** No connection came about: nothing was run. */
  ConnectFailed = 'connect-failed',
  /** The worker refused for want of a slot: nothing was run. */
  Busy = 'busy',
  /** The worker refused because it leaves: nothing was run. */
  Leaving = 'leaving',
  /** The connection broke after the request may have been sent. */
  ConnectionLost = 'connection-lost',
  /** No byte came within the time limit. */
  Silent = 'silent',
  /** The answer ended before its stated length. */
  Truncated = 'truncated',
  /** The answer carried another request's id. */
  Mismatched = 'mismatched',
  /** The worker refused a term or lease that has lapsed. */
  Fenced = 'fenced',
  /** The caller went away. */
  Cancelled = 'cancelled',
}
