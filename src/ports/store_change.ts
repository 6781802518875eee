import {StoreEntry} from './store_entry';

/** A change of a key; without an entry, the key was deleted. */
export interface StoreChange {
  readonly key: string;
  readonly revision: number;
  readonly entry?: StoreEntry;
}
