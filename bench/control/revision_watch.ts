import {delay} from '../../src/state';
import {Configuration} from '../../src/types';
import {EntryProcess, callJson} from '../shared';

/** Reads the revision in force at every entry host, over and over. */
export interface RevisionWatch {
  /** Latest revision seen at each entry host; 0 while it doesn't answer. */
  getRevisions(): readonly number[];
  /** Times that an entry host showed a lower revision than before. */
  getReverts(): number;
  /** Waits until every entry host shows a revision, and returns the time in ms. */
  waitFor(revision: number, limitMs: number): Promise<number>;
  dispose(): Promise<void>;
}

const POLL_MS = 10;

/** Starts reading. */
export function createRevisionWatch(
  entries: readonly EntryProcess[],
): RevisionWatch {
  const revisions = entries.map(() => 0);
  const highest = entries.map(() => 0);
  let reverts = 0;
  let disposed = false;

  async function follow(index: number): Promise<void> {
    while (!disposed) {
      const revision = await readRevision(entries[index]);
      if (revision !== undefined && revision < highest[index]) reverts += 1;
      revisions[index] = revision ?? 0;
      highest[index] = Math.max(highest[index], revisions[index]);
      await delay(POLL_MS);
    }
  }

  const following = Promise.all(entries.map((_, index) => follow(index)));

  return {
    getRevisions: () => revisions,
    getReverts: () => reverts,
    async waitFor(revision, limitMs) {
      const startedAt = performance.now();
      while (revisions.some(seen => seen < revision)) {
        if (performance.now() - startedAt > limitMs) return limitMs;
        await delay(1);
      }
      return performance.now() - startedAt;
    },
    async dispose() {
      disposed = true;
      await following;
    },
  };
}

/** Reads the revision in force; undefined if the entry host is not ready to tell. */
async function readRevision(entry: EntryProcess): Promise<number | undefined> {
  try {
    const url = `${entry.operatorUrl}/v1/configuration`;
    const held = (await callJson('GET', url)) as Configuration | null;
    return held?.revision;
  } catch {
    return undefined;
  }
}
