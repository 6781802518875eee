import {StoreEntry} from './store_entry';

/** Result of a compare-and-swap. */
export interface SwapResult {
  readonly swapped: boolean;
  /** New version if swapped, otherwise the version found. */
  readonly version: number;
  /** The entry found, if the swap did not take effect and the key exists. */
  readonly found?: StoreEntry;
}
