import type {Result} from 'true-myth/result';

/** Takes note of a call's kind, outcome and time in ms. */
export type CallObserver = (call: string, outcome: string, ms: number) => void;

/** Makes a call and tells how it went: `ok`, or the failure. */
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
