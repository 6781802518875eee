import {StoreEntry} from './store_entry';

/** Answer to a compare-and-swap. */
export interface SwapResult {
  readonly swapped: boolean;
  /** New version if swapped, else the version found. */
  readonly version: number;
  /** The entry found, if the swap did not take effect and the key exists. */
  readonly found?: StoreEntry;
}
