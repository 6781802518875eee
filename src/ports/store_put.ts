/** A value to write under a key. */
export interface StorePut {
  readonly key: string;
  /** JSON text. */
  readonly value: string;
  /**
   * Lease to which the key is attached; the key is deleted when the lease
   * expires or is revoked.
   */
  readonly leaseId?: string;
}
