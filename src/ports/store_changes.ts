import {StoreChange} from './store_change';

/** Result of a watch: the changes after a revision. */
export interface StoreChanges {
  readonly revision: number;
  readonly changes: readonly StoreChange[];
  /**
   * Whether the store no longer keeps the changes after that revision; the
   * prefix must be listed again.
   */
  readonly compacted: boolean;
}
