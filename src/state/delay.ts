/**
 * Resolves after a delay, or as soon as the signal is aborted.
 *
 * @param ms delay in ms
 * @param signal ends the delay early without an error
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
