/** Aborts one attempt when it is silent or late, or when its caller goes away. */
export interface AttemptTimer {
  readonly signal: AbortSignal;
  /** True once the worker was silent for too long or the time was up. */
  isTimedOut(): boolean;
  /** Ends the wait for the first byte; the limit of the whole answer stays. */
  noteFirstByte(): void;
  dispose(): void;
}

/**
 * Starts the timer of an attempt.
 *
 * @param timeoutMs limit of the whole answer
 * @param silenceMs limit of the wait for the first byte
 * @param caller aborts when the caller goes away
 */
export function createAttemptTimer(
  timeoutMs: number,
  silenceMs: number,
  caller?: AbortSignal,
): AttemptTimer {
  const abort = new AbortController();
  const cancel = () => abort.abort();
  const expire = () => {
    timedOut = true;
    abort.abort();
  };
  let timedOut = false;
  const silence = setTimeout(expire, silenceMs);
  const limit = setTimeout(expire, timeoutMs);
  if (caller?.aborted) cancel();
  caller?.addEventListener('abort', cancel);

  return {
    signal: abort.signal,
    isTimedOut: () => timedOut,
    noteFirstByte: () => clearTimeout(silence),
    dispose() {
      clearTimeout(silence);
      clearTimeout(limit);
      caller?.removeEventListener('abort', cancel);
    },
  };
}
