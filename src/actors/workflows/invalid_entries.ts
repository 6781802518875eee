import {Log} from '../../telemetry';
import {createRecentEntries} from './recent_entries';

/** Logs stored entries that cannot be read or handled, once each. */
export interface InvalidEntries {
  /**
   * Logs an entry that is ignored.
   *
   * @param key key of the entry
   * @param cause what was thrown
   */
  report(key: string, cause: unknown): void;
}

/** Number of keys that are remembered. */
const MAX_KEYS = 4_096;

/** Creates the log of an entry host. */
export function createInvalidEntries(log: Log): InvalidEntries {
  const known = createRecentEntries<true>(MAX_KEYS);

  return {
    report(key, cause) {
      if (known.has(key)) return;
      known.set(key, true);
      const message = cause instanceof Error ? cause.message : String(cause);
      log.error('invalid entry', {key, cause: message, decision: 'ignore'});
    },
  };
}
