import {Result} from 'true-myth';
import {Store, StoreFailure, Transaction, TransactionResult} from '../../ports';
import {createAdaptiveTimeout, delay, startStopwatch} from '../../state';

/** Writes that may be attempted several times. */
export interface RepeatedWrites {
  /**
   * Attempts a transaction until the store answers.
   *
   * @param transaction its effect must be the same however often it is applied
   * @param waitMs time in ms that the attempts may take
   * @returns the store's answer; `AnswerLost` if an attempt may take effect, any
   *     other failure if none does
   */
  transact(
    transaction: Transaction,
    waitMs: number,
  ): Promise<Result<TransactionResult, StoreFailure>>;
}

/**
 * Minimum attempts before an outcome is reported as unknown. With a third of
 * all answers lost, about one write in twenty ends as unknown.
 */
const MIN_ATTEMPTS = 3;
/** Time in ms that the answer to the caller takes. */
const ANSWER_MS = 30;
/** Delay in ms before further attempts at a store that does not answer. */
const RETRY_MS = 150;
/**
 * Time in ms that an attempt takes at least if the store answers, with the
 * answer to the caller.
 */
const MIN_ATTEMPT_MS = 100;

/**
 * Creates the writes of an entry host.
 *
 * Load: a store that is silent for a few seconds. A caller whose outcome is
 * unknown repeats its request, but a few times only, so attempts go on for a
 * part of its wait.
 *
 * @param store the key-value store
 */
export function createRepeatedWrites(store: Store): RepeatedWrites {
  const storeTimeout = createAdaptiveTimeout();

  return {
    async transact(transaction, waitMs) {
      const getElapsedMs = startStopwatch();
      let lost = 0;
      for (;;) {
        const result = await storeTimeout.run(
          () => store.transact(transaction),
          waitMs - getElapsedMs() - ANSWER_MS,
        );
        if (result.isOk) return result;
        if (result.error === StoreFailure.AnswerLost) lost += 1;
        if (lost === 0) return result;
        if (lost < MIN_ATTEMPTS && result.error === StoreFailure.AnswerLost) {
          continue;
        }
        if (getElapsedMs() + RETRY_MS + MIN_ATTEMPT_MS > waitMs) {
          return Result.err(StoreFailure.AnswerLost);
        }
        await delay(RETRY_MS);
      }
    },
  };
}
