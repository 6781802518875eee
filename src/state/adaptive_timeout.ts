import {Result} from 'true-myth';
import {StoreFailure} from '../ports';

/**
 * Limits the time of calls to the store, based on how long they usually take.
 */
export interface AdaptiveTimeout {
  /**
   * Makes a call and resolves with `StoreFailure.AnswerLost` if it times out.
   *
   * The store may still carry out a timed-out call, so the caller must be able
   * to find out whether it did.
   *
   * @param maxMs maximum time in ms, whatever calls usually take
   */
  run<T>(
    call: () => Promise<Result<T, StoreFailure>>,
    maxMs?: number,
  ): Promise<Result<T, StoreFailure>>;
}

/** Timeout as a multiple of the average response time. */
const TIMEOUT_FACTOR = 4;
/**
 * Lower bound of the timeout in ms; several dozen times the store's usual
 * response time.
 */
const MIN_TIMEOUT_MS = 250;
/**
 * Upper bound of the timeout in ms; equal to the timeout of the store's client.
 */
const MAX_TIMEOUT_MS = 1_500;
/** Weight of the latest response time in the moving average. */
const SMOOTHING_WEIGHT = 0.3;

/**
 * Creates an adaptive timeout with an average of its own.
 *
 * Answers that arrive after the timeout count towards the average as well.
 */
export function createAdaptiveTimeout(): AdaptiveTimeout {
  let averageMs = 0;

  return {
    run(call, maxMs = MAX_TIMEOUT_MS) {
      const startedAt = performance.now();
      const timeoutMs = Math.min(
        MAX_TIMEOUT_MS,
        Math.max(1, maxMs),
        Math.max(MIN_TIMEOUT_MS, averageMs * TIMEOUT_FACTOR),
      );
      return new Promise((resolve, reject) => {
        const timer = setTimeout(
          () => resolve(Result.err(StoreFailure.AnswerLost)),
          timeoutMs,
        );
        call().then(result => {
          clearTimeout(timer);
          if (result.isOk) {
            const durationMs = performance.now() - startedAt;
            averageMs += (durationMs - averageMs) * SMOOTHING_WEIGHT;
          }
          resolve(result);
        }, reject);
      });
    },
  };
}
