import {Store} from '../../ports';
import {LEADER_KEY} from './keys';

/** An entry of the store that only the leader replaces. */
export interface LeaderEntry {
  /**
   * Replaces the value, after the writes before it.
   *
   * @param readValue returns the value at the time of the write
   * @returns true if the store has confirmed it, which proves that this member
   *     leads
   */
  write(readValue: () => string): Promise<boolean>;
  /** Sets the version that was read elsewhere; 0 if there is no entry. */
  setVersion(version: number): void;
}

/**
 * Creates the writer of an entry for one term.
 *
 * Each write has the term and the entry's version as conditions, so that one
 * that is carried out late replaces neither a later one nor that of a later
 * leader.
 *
 * @param store the key-value store
 * @param fence the leader's fencing token
 * @param key key of the entry
 */
export function createLeaderEntry(
  store: Store,
  fence: number,
  key: string,
): LeaderEntry {
  /** Undefined before the first read and after an unknown outcome. */
  let version: number | undefined;
  /** Resolves once the last write has ended. */
  let lastWrite: Promise<unknown> = Promise.resolve();

  async function writeOnce(readValue: () => string): Promise<boolean> {
    version ??= await readVersion();
    if (version === undefined) return false;
    const result = await store.transact({
      conditions: new Map([
        [LEADER_KEY, fence],
        [key, version],
      ]),
      puts: [{key, value: readValue()}],
      removals: [],
    });
    const applied = result.isOk && result.value.applied;
    version = applied ? result.value.revision : undefined;
    return applied;
  }

  async function readVersion(): Promise<number | undefined> {
    const found = await store.get(key);
    return found.isOk ? (found.value?.version ?? 0) : undefined;
  }

  return {
    write(readValue) {
      const written = lastWrite.then(() => writeOnce(readValue));
      lastWrite = written.catch(() => {});
      return written;
    },
    setVersion(next) {
      version = next;
    },
  };
}
