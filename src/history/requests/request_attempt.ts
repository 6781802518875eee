/** A request that a caller sent to one entry host. */
export interface RequestAttempt {
  readonly requestId: string;
  readonly idempotencyKey?: string;
  readonly idempotent: boolean;
  /**
   * Content of the request; unique to the request and the same in its retries.
   */
  readonly content: string;
}
