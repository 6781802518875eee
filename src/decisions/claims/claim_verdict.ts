/** Answer to a claim. */
export enum ClaimVerdict {
  /** The claim is durable and the asking request may run. */
  Granted = 'granted',
  /** The key's request was run; its answer follows if it was kept. */
  Finished = 'finished',
  /** Another request holds the claim and its end is not recorded. */
  Running = 'running',
  /** The end is recorded, but not whether the request was run. */
  Unknown = 'unknown',
  /** The key belongs to a request with another method, path or body. */
  Mismatched = 'mismatched',
  /** No claim could be made. */
  Unavailable = 'unavailable',
}
