import {Log, LogContext} from './log';

/** Reports errors that no caller handles. */
export interface UnexpectedErrors {
  /**
   * Logs and counts an error.
   *
   * @param activity what failed; from a small fixed set, as metrics are labelled
   *     with it
   * @param error what was thrown
   * @param context further fields of the log line
   */
  report(activity: string, error: unknown, context?: LogContext): void;
}

/** Maximum length of a stack trace in a log line, in characters. */
const MAX_STACK_LENGTH = 2_000;

/**
 * Creates the report of unexpected errors.
 *
 * @param log receives one line for each error
 * @param count called with the activity of each error
 */
export function createUnexpectedErrors(
  log: Log,
  count: (activity: string) => void,
): UnexpectedErrors {
  return {
    report(activity, error, context = {}) {
      count(activity);
      const {message, stack} =
        error instanceof Error ? error : new Error(String(error));
      log.error('unexpected error', {
        ...context,
        activity,
        cause: message,
        stack: stack?.slice(0, MAX_STACK_LENGTH),
      });
    },
  };
}
