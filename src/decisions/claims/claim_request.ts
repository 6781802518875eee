/**
 * Request of a member for the exclusive right to run the request of an
 * idempotency key.
 */
export interface ClaimRequest {
  readonly partition: number;
  /** Digest of service, team and idempotency key. */
  readonly key: string;
  /** Digest of method, path and body. */
  readonly fingerprint: string;
  readonly requestId: string;
  /** Maximum time that the requesting member waits for the reply, in ms. */
  readonly timeoutMs: number;
}
