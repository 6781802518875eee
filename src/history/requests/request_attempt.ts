/** One request as a caller sent it to one entry host. */
export interface RequestAttempt {
  readonly requestId: string;
  readonly idempotencyKey?: string;
  readonly idempotent: boolean;
  /** What it asks, unique to the request; the same in its repeats. */
  readonly content: string;
}
