import {StoreChange} from './store_change';

/** What a watch saw: the changes after a revision, or that they are no longer kept. */
export interface StoreChanges {
  readonly revision: number;
  readonly changes: readonly StoreChange[];
  /** True if the asked revision is no longer kept: list again. */
  readonly compacted: boolean;
}
