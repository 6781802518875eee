/**
 * A compare-and-swap, which takes effect only if the key is at the expected
 * version.
 */
export interface Swap {
  readonly key: string;
  /** Version that the key must have; 0 if it must not exist. */
  readonly expectedVersion: number;
  /** New value as JSON text; undefined deletes the key. */
  readonly value: string | undefined;
  /**
   * Lease to which the key is attached; the key is deleted when the lease
   * expires or is revoked.
   */
  readonly leaseId?: string;
}
