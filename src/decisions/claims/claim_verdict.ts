/** Result of a claim. */
export enum ClaimVerdict {
  /** The claim is stored durably and the request may run. */
  Granted = 'granted',
  /**
   * The key's request has run; the reply includes its response if that was
   * recorded.
   */
  Finished = 'finished',
  /** Another request holds the claim and its end has not been recorded. */
  Running = 'running',
  /**
   * The end was recorded with an unknown outcome: the request may or may not
   * have run.
   */
  Unknown = 'unknown',
  /** The key was claimed by a request with a different method, path or body. */
  Mismatched = 'mismatched',
  /** The claim could not be stored or checked. */
  Unavailable = 'unavailable',
}
