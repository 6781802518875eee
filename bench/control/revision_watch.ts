import {delay} from '../../src/state';
import {Configuration} from '../../src/types';
import {EntryProcess, callJson} from '../shared';

/** Polls the active configuration revision of every entry host. */
export interface RevisionWatch {
  /**
   * Returns the last revision read from each entry host; 0 while the entry host
   * does not respond.
   */
  getRevisions(): readonly number[];
  /** Returns how often an entry host reported a lower revision than before. */
  getReverts(): number;
  /**
   * Waits until every entry host reports at least a revision; returns the time
   * waited in ms, or the timeout once it has passed.
   */
  waitFor(revision: number, timeoutMs: number): Promise<number>;
  dispose(): Promise<void>;
}

const POLL_MS = 10;

/** Creates a revision watch, which polls until it is disposed. */
export function createRevisionWatch(
  entries: readonly EntryProcess[],
): RevisionWatch {
  const revisions = entries.map(() => 0);
  const highest = entries.map(() => 0);
  let reverts = 0;
  let disposed = false;

  async function poll(index: number): Promise<void> {
    while (!disposed) {
      const revision = await readRevision(entries[index]);
      if (revision !== undefined && revision < highest[index]) reverts += 1;
      revisions[index] = revision ?? 0;
      highest[index] = Math.max(highest[index], revisions[index]);
      await delay(POLL_MS);
    }
  }

  const polling = Promise.all(entries.map((_, index) => poll(index)));

  return {
    getRevisions: () => revisions,
    getReverts: () => reverts,
    async waitFor(revision, timeoutMs) {
      const startedAt = performance.now();
      while (revisions.some(latest => latest < revision)) {
        if (performance.now() - startedAt > timeoutMs) return timeoutMs;
        await delay(1);
      }
      return performance.now() - startedAt;
    },
    async dispose() {
      disposed = true;
      await polling;
    },
  };
}

/**
 * Reads the active revision; undefined if the entry host has none or does not
 * respond.
 */
async function readRevision(entry: EntryProcess): Promise<number | undefined> {
  try {
    const url = `${entry.operatorUrl}/v1/configuration`;
    const configuration = (await callJson('GET', url)) as Configuration | null;
    return configuration?.revision;
  } catch {
    return undefined;
  }
}
