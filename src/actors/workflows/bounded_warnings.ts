import {Log, LogContext} from '../../telemetry';
import {LineLimit, createLineLimit} from './line_limit';

/** Logs warnings at a bounded rate for each message and kind. */
export interface BoundedWarnings {
  /**
   * Logs a line, with the number of those left out before it as `omitted`.
   *
   * @param message message of the line
   * @param kind what is bounded separately; from a small fixed set
   * @param read returns the fields; not called for a line that is left out
   */
  warn(message: string, kind: string, read: () => LogContext): void;
}

/** Maximum number of lines of a message and kind in a period. */
const MAX_LINES = 10;
const LINE_PERIOD_MS = 1_000;

/** Creates the warnings of a term. */
export function createBoundedWarnings(log: Log): BoundedWarnings {
  const limits = new Map<string, LineLimit>();

  return {
    warn(message, kind, read) {
      const key = `${message} ${kind}`;
      let limit = limits.get(key);
      if (!limit) {
        limit = createLineLimit(MAX_LINES, LINE_PERIOD_MS);
        limits.set(key, limit);
      }
      const omitted = limit.admit();
      if (omitted !== undefined) log.warn(message, {...read(), omitted});
    },
  };
}
