import {StorePut} from './store_put';

/** Changes of several keys that take effect together or not at all. */
export interface Transaction {
  /** Versions that keys must have; 0 if a key must not exist. */
  readonly conditions: ReadonlyMap<string, number>;
  readonly puts: readonly StorePut[];
  readonly removals: readonly string[];
}
