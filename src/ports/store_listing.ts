import {StoreEntry} from './store_entry';

/** All keys under a prefix at one revision. */
export interface StoreListing {
  readonly revision: number;
  readonly entries: readonly StoreEntry[];
}
