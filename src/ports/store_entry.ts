/** One key of the key-value service. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text, at most 1 MB. */
  readonly value: string;
  /** Store-wide revision of the last change; 0 means the key doesn't exist. */
  readonly version: number;
  readonly leaseId?: string;
}
