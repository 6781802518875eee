/** A member's wish to run the request of an idempotency key. */
export interface ClaimRequest {
  readonly partition: number;
  /** Digest of service, team and idempotency key. */
  readonly key: string;
  /** Digest of method, path and body. */
  readonly fingerprint: string;
  readonly requestId: string;
  /** Longest time that the asking member waits, in ms. */
  readonly timeoutMs: number;
}
