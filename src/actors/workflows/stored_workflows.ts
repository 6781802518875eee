import {StoredProgress, StoredState} from '../../decisions/workflows';
import {Store, StoreEntry} from '../../ports';
import {delay} from '../../state';
import {LEDGER_KEY, PROGRESS_PREFIX, STATE_PREFIX} from './keys';

/**
 * Workflow states and progress stored by entry hosts and earlier leaders, by
 * key.
 */
export interface StoredWorkflows {
  readonly states: ReadonlyMap<string, StoredState>;
  readonly progress: ReadonlyMap<string, StoredProgress>;
  /** Revision of the ledger key; 0 if no leader has written yet. */
  readonly ledgerVersion: number;
}

/** Delay before retrying a failed store read, in ms. */
const RETRY_MS = 200;

/**
 * Reads the stored state and progress of all workflows; retries until it
 * succeeds or is aborted.
 *
 * @param store the key-value store
 * @param signal aborts the retries
 * @returns the stored workflows; undefined if aborted
 */
export async function readStoredWorkflows(
  store: Store,
  signal: AbortSignal,
): Promise<StoredWorkflows | undefined> {
  while (!signal.aborted) {
    const [states, progress, last] = await Promise.all([
      store.list(STATE_PREFIX),
      store.list(PROGRESS_PREFIX),
      store.get(LEDGER_KEY),
    ]);
    // A leader that was deposed meanwhile must not act on what it has read.
    if (signal.aborted) return undefined;
    if (states.isErr || progress.isErr || last.isErr) {
      await delay(RETRY_MS, signal);
      continue;
    }
    return {
      states: parseEntries<StoredState>(states.value.entries),
      progress: parseEntries<StoredProgress>(progress.value.entries),
      ledgerVersion: last.value?.version ?? 0,
    };
  }
  return undefined;
}

function parseEntries<T>(
  entries: readonly StoreEntry[],
): ReadonlyMap<string, T> {
  return new Map(entries.map(({key, value}) => [key, JSON.parse(value) as T]));
}
