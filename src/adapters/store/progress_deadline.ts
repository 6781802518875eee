/** Aborts a call whose answer makes no progress. */
export interface ProgressDeadline {
  /** Aborted with a `TimeoutError` once the deadline has passed. */
  readonly signal: AbortSignal;
  /** Moves the deadline to the given time in ms from now. */
  extend(limitMs: number): void;
  /** Ends the deadline after the call. */
  clear(): void;
}

/**
 * Creates a deadline.
 *
 * @param limitMs time in ms until the answer must begin
 */
export function createProgressDeadline(limitMs: number): ProgressDeadline {
  const controller = new AbortController();
  const start = (ms: number) =>
    setTimeout(() => {
      controller.abort(new DOMException('no progress in time', 'TimeoutError'));
    }, ms);
  let timer = start(limitMs);

  return {
    signal: controller.signal,
    extend(nextLimitMs) {
      clearTimeout(timer);
      timer = start(nextLimitMs);
    },
    clear: () => clearTimeout(timer),
  };
}
