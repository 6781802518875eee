import {
  WorkflowRecord,
  hasPlacedTask,
  isFinal,
} from '../../decisions/workflows';
import {getCancelKey, getStateKey, getWorkKey} from './keys';

/** Deletes workflows whose retention period has passed. */
export interface Retention {
  /** Starts the retention period of a workflow that has just ended. */
  recordEnd(id: string): void;
  /** Requests the deletion of expired workflows. */
  review(): void;
  /**
   * Updates which keys are stored. A record is dropped only once its key is
   * gone; otherwise the workflow would be admitted again as new.
   */
  updateStoredKeys(keys: ReadonlyMap<string, unknown>): void;
}

/**
 * Margin in ms added to the retention period, as the clocks of two leaders may
 * differ by seconds.
 */
const MARGIN_MS = 20_000;

/**
 * Creates the retention of a term.
 *
 * The period is measured on the monotonic clock. Only the time that passed
 * before this term is taken from the Unix times that earlier leaders stored.
 *
 * @param records workflows by id
 * @param keepStateMs retention period after the end of a workflow, in ms
 * @param remove deletes keys, fenced by the leader's term
 * @param unixNow returns the current Unix time in ms
 */
export function createRetention(
  records: Map<string, WorkflowRecord>,
  keepStateMs: number,
  remove: (keys: readonly string[]) => void,
  unixNow: () => number,
): Retention {
  /** Workflows whose keys are being deleted. */
  const removing = new Set<string>();
  /** Monotonic times in ms at which workflows were first seen as ended. */
  const endedSince = new Map<string, number>();

  /** Returns the time in ms since a workflow ended in an earlier term. */
  function measurePriorAge({endedAt}: WorkflowRecord): number {
    return Math.max(unixNow() - endedAt, 0);
  }

  function isExpired(id: string, record: WorkflowRecord): boolean {
    if (!isFinal(record.state)) return false;
    const now = performance.now();
    const since = endedSince.get(id) ?? now - measurePriorAge(record);
    endedSince.set(id, since);
    if (now < since + keepStateMs + MARGIN_MS) return false;
    return isSettled(record);
  }

  return {
    recordEnd: id => void endedSince.set(id, performance.now()),
    review() {
      for (const [id, record] of records) {
        if (isSettled(record)) record.groups.clear();
        if (removing.has(id) || !isExpired(id, record)) continue;
        removing.add(id);
        remove([getWorkKey(id), getStateKey(id), getCancelKey(id)]);
      }
    },
    updateStoredKeys(keys) {
      for (const id of removing) {
        if (keys.has(getWorkKey(id))) continue;
        removing.delete(id);
        endedSince.delete(id);
        records.delete(id);
      }
    },
  };
}

/** Returns whether nothing of an ended workflow remains to be done or stored. */
function isSettled(record: WorkflowRecord): boolean {
  if (!isFinal(record.state)) return false;
  if (record.storedVersion < record.version) return false;
  return !hasPlacedTask(record);
}
