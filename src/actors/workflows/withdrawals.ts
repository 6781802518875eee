import {Result} from 'true-myth';
import {listWithdrawalScopes} from '../../decisions/workflows';
import {StoreFailure, TransactionResult} from '../../ports';
import {createRateLimiter} from '../../state';
import {Caller, Queue} from '../../types/workflow';
import {getWithdrawalKey, getWorkKey} from './keys';
import {createRecentEntries} from './recent_entries';
import {RepeatedWrites} from './repeated_writes';

/** Withdraws submissions that are not stored, but may still be in transit. */
export interface Withdrawals {
  /**
   * Prevents the creation of workflows that the caller may know of, unless one
   * is stored. Submissions of the id are refused until the withdrawal is
   * removed.
   *
   * @param waitMs time in ms that the attempts may take
   * @returns the store's answer, with the stored workflow if not applied;
   *     `Rejected` if too many submissions are withdrawn at once
   */
  withdraw(
    queue: Queue,
    id: string,
    caller: Caller,
    waitMs: number,
  ): Promise<Result<TransactionResult, StoreFailure>>;
}

/** Limits of the writes of an entry host, which all callers' writes share. */
const WITHDRAWALS_PER_S = 10;
const MAX_BURST = 50;
/**
 * Time in ms for which a withdrawal is not written again; less than it is kept.
 */
const RENEWAL_INTERVAL_MS = 30_000;
/** Number of withdrawals that an entry host remembers. */
const MAX_RECENT = 4_096;

/**
 * Creates the withdrawals of an entry host.
 *
 * The creation of a workflow requires that its id is not withdrawn, and a
 * withdrawal that the workflow is not stored. Whichever reaches the store first
 * excludes the other, even if it takes effect late.
 *
 * @param writes writes to the key-value store
 */
export function createWithdrawals(writes: RepeatedWrites): Withdrawals {
  const limiter = createRateLimiter({
    callsPerSecond: WITHDRAWALS_PER_S,
    burst: MAX_BURST,
  });
  /** Monotonic times in ms of confirmed withdrawals, by their keys. */
  const withdrawnAt = createRecentEntries<number>(MAX_RECENT);

  return {
    async withdraw(queue, id, caller, waitMs) {
      const keys = listWithdrawalScopes(queue, caller).map(scope =>
        getWithdrawalKey(id, scope),
      );
      const name = keys.join(' ');
      const lastAt = withdrawnAt.get(name) ?? -Infinity;
      if (performance.now() < lastAt + RENEWAL_INTERVAL_MS) {
        return Result.ok({applied: true, revision: 0, found: []});
      }
      if (!limiter.tryAcquire()) return Result.err(StoreFailure.Rejected);
      const sentAt = performance.now();
      const result = await writes.transact(
        {
          conditions: new Map([[getWorkKey(id), 0]]),
          puts: keys.map(key => ({key, value: JSON.stringify(true)})),
          removals: [],
        },
        waitMs,
      );
      if (result.isOk && result.value.applied) withdrawnAt.set(name, sentAt);
      return result;
    },
  };
}
