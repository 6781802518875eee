import {StoredProgress, StoredState} from '../../decisions/workflows';
import {Store, StoreEntry} from '../../ports';
import {delay} from '../../state';
import {LEDGER_KEY, PROGRESS_PREFIX, STATE_PREFIX} from './keys';

/** What entry hosts and earlier leaders have stored, by key. */
export interface StoredWorkflows {
  readonly states: ReadonlyMap<string, StoredState>;
  readonly progress: ReadonlyMap<string, StoredProgress>;
  /** Revision of the ledger's key; 0 if no leader has written yet. */
  readonly ledgerVersion: number;
}

/** Wait after a failed read of the store, in ms. */
const RETRY_MS = 200;

/**
 * Reads what is stored of all workflows, however often that fails.
 *
 * @param store the key-value service
 * @param signal ends the tries
 * @returns what is stored; undefined if the signal came first
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
