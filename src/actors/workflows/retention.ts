import {WorkflowRecord, forEachTask, isFinal} from '../../decisions/workflows';
import {getCancelKey, getStateKey, getWorkKey} from './keys';

/** Deletes workflows whose states need no longer be told. */
export interface Retention {
  /** Asks for the deletion of what ended long enough ago. */
  review(): void;
  /** Takes over which workflows are stored: a record goes only when its key has, as it would count as new. */
  noteStored(keys: ReadonlyMap<string, unknown>): void;
}

/** Added to the time for which a state is kept, in ms: hosts' times of day may differ by seconds. */
const RETENTION_SLACK_MS = 20_000;

/**
 * Creates the retention of a term.
 *
 * @param records workflows by id
 * @param keepStateMs how long a state is kept after the end, in ms
 * @param remove deletes keys under the leader's term
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
    if (record.endedAt > Date.now() - keepStateMs - RETENTION_SLACK_MS)
      return false;
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
    noteStored(keys) {
      for (const id of removing) {
        if (keys.has(getWorkKey(id))) continue;
        removing.delete(id);
        records.delete(id);
      }
    },
  };
}
