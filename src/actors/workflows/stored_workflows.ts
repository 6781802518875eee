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
  /** Keys of states and progress that cannot be read. */
  readonly invalidKeys: ReadonlySet<string>;
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
 * @param onInvalid called with the entries that cannot be read
 * @returns the stored workflows; undefined if aborted
 */
export async function readStoredWorkflows(
  store: Store,
  signal: AbortSignal,
  onInvalid: (key: string, cause: unknown) => void,
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
    const invalidKeys = new Set<string>();
    const skip = (key: string, cause: unknown) => {
      invalidKeys.add(key);
      onInvalid(key, cause);
    };
    return {
      states: parseEntries<StoredState>(states.value.entries, skip),
      progress: parseEntries<StoredProgress>(progress.value.entries, skip),
      invalidKeys,
      ledgerVersion: last.value?.version ?? 0,
    };
  }
  return undefined;
}

function parseEntries<T>(
  entries: readonly StoreEntry[],
  onInvalid: (key: string, cause: unknown) => void,
): ReadonlyMap<string, T> {
  const parsed = new Map<string, T>();
  for (const {key, value} of entries) {
    try {
      parsed.set(key, JSON.parse(value) as T);
    } catch (error) {
      onInvalid(key, error);
    }
  }
  return parsed;
}
