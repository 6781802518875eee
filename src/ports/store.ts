import type {Result} from 'true-myth/result';
import {StoreChanges} from './store_changes';
import {StoreEntry} from './store_entry';
import {StoreFailure} from './store_failure';
import {StoreListing} from './store_listing';
import {Swap} from './swap';
import {SwapResult} from './swap_result';
import {Transaction} from './transaction';
import {TransactionResult} from './transaction_result';

/** The platform's key-value service; no call throws. */
export interface Store {
  /** Reads a key; undefined if it does not exist. */
  get(key: string): Promise<Result<StoreEntry | undefined, StoreFailure>>;
  /** Lists all keys under a prefix. */
  list(prefix: string): Promise<Result<StoreListing, StoreFailure>>;
  /** Writes or deletes a key if it is at the expected version. */
  swap(swap: Swap): Promise<Result<SwapResult, StoreFailure>>;
  /**
   * Applies all changes of a transaction, or none if a condition does not hold.
   */
  transact(
    transaction: Transaction,
  ): Promise<Result<TransactionResult, StoreFailure>>;
  /** Grants a lease of the given length in ms and returns its id. */
  grantLease(lengthMs: number): Promise<Result<string, StoreFailure>>;
  /**
   * Renews a lease for its full length; false if it has expired or been
   * revoked.
   */
  renewLease(leaseId: string): Promise<Result<boolean, StoreFailure>>;
  /** Revokes a lease and deletes its keys. */
  revokeLease(leaseId: string): Promise<Result<void, StoreFailure>>;
  /** Waits up to `waitMs` for changes under a prefix after a revision. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<StoreChanges, StoreFailure>>;
  /** Cancels open watches and closes connections. */
  dispose(): void;
}
