/** A key of the key-value service with its value. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text, at most 1 MB. */
  readonly value: string;
  /**
   * Store-wide revision of the key's last change; 0 means that the key does not
   * exist.
   */
  readonly version: number;
  /**
   * Lease to which the key is attached; the key is deleted when the lease
   * expires or is revoked.
   */
  readonly leaseId?: string;
}
