import {WorkflowRecord, forEachTask, isFinal} from '../../decisions/workflows';
import {getCancelKey, getStateKey, getWorkKey} from './keys';

/** Deletes workflows whose retention period has passed. */
export interface Retention {
  /** Requests the deletion of expired workflows. */
  review(): void;
  /**
   * Updates which keys are stored. A record is dropped only once its key is
   * gone; otherwise the workflow would be admitted again as new.
   */
  updateStoredKeys(keys: ReadonlyMap<string, unknown>): void;
}

/**
 * Margin in ms added to the retention period, as the wall clocks of hosts may
 * differ by seconds.
 */
const CLOCK_SKEW_MS = 20_000;

/**
 * Creates the retention of a term.
 *
 * @param records workflows by id
 * @param keepStateMs retention period after the end of a workflow, in ms
 * @param remove deletes keys, fenced by the leader's term
 */
export function createRetention(
  records: Map<string, WorkflowRecord>,
  keepStateMs: number,
  remove: (keys: readonly string[]) => void,
): Retention {
  /** Workflows whose keys are being deleted. */
  const removing = new Set<string>();

  function isExpired(record: WorkflowRecord): boolean {
    if (!isFinal(record.state)) return false;
    if (record.endedAt > Date.now() - keepStateMs - CLOCK_SKEW_MS) return false;
    if (record.storedVersion < record.version) return false;
    let busy = false;
    forEachTask(record, task => (busy ||= task.placement !== undefined));
    return !busy;
  }

  return {
    review() {
      for (const [id, record] of records) {
        if (removing.has(id) || !isExpired(record)) continue;
        removing.add(id);
        remove([getWorkKey(id), getStateKey(id), getCancelKey(id)]);
      }
    },
    updateStoredKeys(keys) {
      for (const id of removing) {
        if (keys.has(getWorkKey(id))) continue;
        removing.delete(id);
        records.delete(id);
      }
    },
  };
}
