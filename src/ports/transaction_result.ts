import {StoreEntry} from './store_entry';

/** Result of a transaction. */
export interface TransactionResult {
  readonly applied: boolean;
  /** Revision of the changes if applied; 0 otherwise. */
  readonly revision: number;
  /**
   * Current entries of the keys in the conditions, if a condition did not hold.
   */
  readonly found: readonly StoreEntry[];
}
