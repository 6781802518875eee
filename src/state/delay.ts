/**
 * Resolves after a time, or as soon as the signal aborts.
 *
 * @param ms time to wait in ms
 * @param signal ends the wait early without an error
 */
export function delay(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve();
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish);
  });
}
