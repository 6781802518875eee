/** Aborts one attempt when it is silent or late, or when its caller goes away. */
export interface AttemptTimer {
  readonly signal: AbortSignal;
  /** True once the worker was silent for too long or the time was up. */
  isTimedOut(): boolean;
  /** Ends the wait for the first byte; the limit of the whole answer stays. */
  stopFirstByteTimer(): void;
  dispose(): void;
}

/**
 * Starts the timer of an attempt.
 *
 * @param timeoutMs limit of the whole answer
 * @param firstByteTimeoutMs limit of the wait for the first byte
 * @param callerSignal aborts when the caller goes away
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
  const firstByteTimer = setTimeout(expire, firstByteTimeoutMs);
  const responseTimer = setTimeout(expire, timeoutMs);
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
