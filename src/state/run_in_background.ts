/** Receives an error that no caller handles; must not throw. */
export type ErrorHandler = (error: unknown) => void;

/**
 * Makes a call that nobody waits for.
 *
 * @param call may throw or return a promise
 * @param onError called if it throws or its promise is rejected
 */
export function runInBackground(
  call: () => unknown,
  onError: ErrorHandler,
): void {
  try {
    const result = call();
    if (result instanceof Promise) result.catch(onError);
  } catch (error) {
    onError(error);
  }
}

/** Throws an error where no caller can handle it. */
export function throwUncaught(error: unknown): void {
  queueMicrotask(() => {
    throw error;
  });
}
