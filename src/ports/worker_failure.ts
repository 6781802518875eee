/** Why a call from an entry host to a worker failed. */
export enum WorkerFailure {
  /** No connection could be opened; nothing was run. */
  ConnectFailed = 'connect-failed',
  /** The worker refused because it has no free slot; nothing was run. */
  Busy = 'busy',
  /** The worker refused because it is leaving; nothing was run. */
  Leaving = 'leaving',
  /** The connection broke after the request may have been sent. */
  ConnectionLost = 'connection-lost',
  /** No byte was received within the timeout. */
  Silent = 'silent',
  /** The answer ended before its stated length. */
  Truncated = 'truncated',
  /** The answer carried the id of another request. */
  Mismatched = 'mismatched',
  /** The worker refused an outdated term or an expired lease. */
  Fenced = 'fenced',
  /** The caller cancelled the request or disconnected. */
  Cancelled = 'cancelled',
}
