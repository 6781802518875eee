import {Result} from 'true-myth';
import {StoreFailure} from '../ports';

/** Waits for answers of the store no longer than they usually take. */
export interface Patience {
  /**
   * Makes a call; one whose answer is far later than usual counts as lost.
   *
   * The call may still be carried out, so its caller has to be able to tell.
   */
  wait<T>(
    call: () => Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>>;
}

/** Multiple of the usual time after which an answer counts as lost. */
const TIMEOUT_FACTOR = 4;
/** Bounds of the wait in ms: some dozens of the store's usual answers, and its client's time limit. */
const MIN_TIMEOUT_MS = 250;
const MAX_TIMEOUT_MS = 1_500;
/** Weight of the last answer in the usual time. */
const SMOOTHING_WEIGHT = 0.3;

/** Creates the patience of one caller, which learns from every answer, also late ones. */
export function createPatience(): Patience {
  let averageMs = 0;

  return {
    wait(call) {
      const startedAt = performance.now();
      const timeoutMs = Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, averageMs * TIMEOUT_FACTOR));
      return new Promise(resolve => {
        const timer = setTimeout(
          () => resolve(Result.err(StoreFailure.AnswerLost)),
          timeoutMs,
        );
        void call().then(result => {
          clearTimeout(timer);
          if (result.isOk) {
            const durationMs = performance.now() - startedAt;
            averageMs += (durationMs - averageMs) * SMOOTHING_WEIGHT;
          }
          resolve(result);
        });
      });
    },
  };
}
