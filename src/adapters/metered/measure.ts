import type {Result} from 'true-myth/result';

/** Receives the kind, the outcome and the duration in ms of a call. */
export type CallObserver = (call: string, outcome: string, ms: number) => void;

/**
 * Executes a call and reports its duration and outcome to an observer.
 *
 * @param call kind of the call
 * @param observe receives the outcome: `ok`, or the failure
 * @param execute makes the call
 * @returns the result of the call
 */
export async function measure<T, F extends string>(
  call: string,
  observe: CallObserver,
  execute: () => Promise<Result<T, F>>,
): Promise<Result<T, F>> {
  const startedAt = performance.now();
  const result = await execute();
  const outcome = result.isOk ? 'ok' : result.error;
  observe(call, outcome, performance.now() - startedAt);
  return result;
}
