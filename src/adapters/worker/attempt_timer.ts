/**
 * Aborts an attempt to run a request when a timeout expires or the caller
 * disconnects.
 */
export interface AttemptTimer {
  /** Signal that is aborted with the attempt. */
  readonly signal: AbortSignal;
  /** Returns whether the attempt was aborted by one of the timeouts. */
  isTimedOut(): boolean;
  /**
   * Stops the timeout of the first byte. The timeout of the whole response
   * keeps running.
   */
  stopFirstByteTimer(): void;
  dispose(): void;
}

/** Maximum duration of a timer in ms; a longer one expires at once. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Starts the timeouts of an attempt.
 *
 * @param timeoutMs timeout of the whole response
 * @param firstByteTimeoutMs timeout of the first byte of the response
 * @param callerSignal signal that is aborted when the caller disconnects
 */
export function createAttemptTimer(
  timeoutMs: number,
  firstByteTimeoutMs: number,
  callerSignal?: AbortSignal,
): AttemptTimer {
  const abort = new AbortController();
  const abortAttempt = () => abort.abort();
  const expire = () => {
    timedOut = true;
    abort.abort();
  };
  let timedOut = false;
  const start = (ms: number) => setTimeout(expire, Math.min(ms, MAX_TIMER_MS));
  const firstByteTimer = start(firstByteTimeoutMs);
  const responseTimer = start(timeoutMs);
  if (callerSignal?.aborted) abortAttempt();
  callerSignal?.addEventListener('abort', abortAttempt);

  return {
    signal: abort.signal,
    isTimedOut: () => timedOut,
    stopFirstByteTimer: () => clearTimeout(firstByteTimer),
    dispose() {
      clearTimeout(firstByteTimer);
      clearTimeout(responseTimer);
      callerSignal?.removeEventListener('abort', abortAttempt);
    },
  };
}
