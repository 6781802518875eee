import {Result} from 'true-myth';
import {StoredState, isFinal} from '../../decisions/workflows';
import {Store, StoreEntry, StoreFailure} from '../../ports';
import {getStateKey} from './keys';
import {createRecentEntries} from './recent_entries';

/**
 * Reads workflow states from the store, so that an entry host needs no copy of
 * the states of all workflows.
 */
export interface StateReader {
  /** Returns a workflow's stored state; undefined if there is none. */
  read(id: string): Promise<Result<StoredState | undefined, StoreFailure>>;
}

/**
 * Number of final states that are kept; about as many as callers of one entry
 * host ask for within the retention period.
 */
const MAX_FINAL_STATES = 4_096;

/**
 * Creates a reader.
 *
 * A final state never changes, so it is read once. Simultaneous reads of one
 * workflow share a call to the store.
 *
 * @param store the key-value store
 */
export function createStateReader(store: Store): StateReader {
  const finalStates = createRecentEntries<StoredState>(MAX_FINAL_STATES);
  const reading = new Map<string, ReturnType<StateReader['read']>>();

  async function fetch(
    id: string,
  ): Promise<Result<StoredState | undefined, StoreFailure>> {
    const found = await store
      .get(getStateKey(id))
      .finally(() => reading.delete(id));
    const state = found.andThen(readState);
    if (state.isOk && state.value && isFinal(state.value.state)) {
      finalStates.set(id, state.value);
    }
    return state;
  }

  return {
    async read(id) {
      const known = finalStates.get(id);
      if (known) return Result.ok(known);
      const pending = reading.get(id) ?? fetch(id);
      reading.set(id, pending);
      return pending;
    },
  };
}

/** An entry that cannot be read says nothing about its workflow. */
function readState(
  entry: StoreEntry | undefined,
): Result<StoredState | undefined, StoreFailure> {
  if (!entry) return Result.ok(undefined);
  try {
    return Result.ok(JSON.parse(entry.value) as StoredState);
  } catch {
    return Result.err(StoreFailure.Rejected);
  }
}
