import {randomUUID} from 'node:crypto';
import {StoreChange, StoreChanges, StoreEntry, StoreListing} from '../ports';

/** A prefix of the store with its latest changes, numbered in this process. */
export interface ChangeLog {
  readonly prefix: string;
  /** Identifies this log; sequences of other logs mean nothing here. */
  readonly epoch: string;
  /** Number of the last change; grows also when the store's revisions go back. */
  getSequence(): number;
  /** Revision of the store up to which the content is complete. */
  getRevision(): number;
  /** Revision of the store that made the last change. */
  getContentRevision(): number;
  isSynced(): boolean;
  getEntries(): readonly StoreEntry[];
  /** Returns the changes after a sequence. */
  read(afterSequence: number): StoreChanges;
  /** Adds changes that the store made up to a revision. */
  append(changes: readonly StoreChange[], revision: number): void;
  /** Takes over the whole content at one revision; a lower one is a restored store. */
  replace(listing: StoreListing): void;
  /** Calls a listener after each change until the returned function is called. */
  onChange(listener: () => void): () => void;
}

interface LoggedChange extends StoreChange {
  readonly sequence: number;
}

/** Characters of an epoch, which every relayed watch carries. */
const EPOCH_LENGTH = 8;
/** Changes kept for readers; older ones are compacted. */
const MAX_KEPT_CHANGES = 2_000;

/** Creates an empty log of a prefix. */
export function createChangeLog(prefix: string): ChangeLog {
  const entries = new Map<string, StoreEntry>();
  const listeners = new Set<() => void>();
  let changes: LoggedChange[] = [];
  let sequence = 0;
  let compactedTo = 0;
  let revision = 0;
  let contentRevision = 0;
  let synced = false;

  function record(change: StoreChange): void {
    if (change.entry) entries.set(change.key, change.entry);
    else entries.delete(change.key);
    contentRevision = Math.max(contentRevision, change.revision);
    sequence += 1;
    changes.push({...change, sequence});
    if (changes.length <= MAX_KEPT_CHANGES) return;
    const dropped = changes.splice(0, MAX_KEPT_CHANGES / 2);
    compactedTo = dropped[dropped.length - 1].sequence;
  }

  function reset(listing: StoreListing): void {
    entries.clear();
    for (const entry of listing.entries) entries.set(entry.key, entry);
    changes = [];
    contentRevision = listing.revision;
    sequence += 1;
    compactedTo = sequence;
  }

  function recordDifference(listing: StoreListing): void {
    const listed = new Set(listing.entries.map(entry => entry.key));
    for (const key of [...entries.keys()]) {
      if (!listed.has(key)) record({key, revision: listing.revision});
    }
    for (const entry of listing.entries) {
      if (entries.get(entry.key)?.version === entry.version) continue;
      record({key: entry.key, revision: entry.version, entry});
    }
  }

  function notifyListeners(): void {
    for (const listener of [...listeners]) listener();
  }

  return {
    prefix,
    epoch: randomUUID().slice(0, EPOCH_LENGTH),
    getSequence: () => sequence,
    getRevision: () => revision,
    getContentRevision: () => contentRevision,
    isSynced: () => synced,
    getEntries: () => [...entries.values()],
    read: after => ({
      revision: sequence,
      compacted: after < compactedTo || after > sequence,
      changes: changes.filter(change => change.sequence > after),
    }),
    append(added, upTo) {
      const before = sequence;
      for (const change of added) {
        if (isNew(entries.get(change.key), change)) record(change);
      }
      revision = Math.max(revision, upTo);
      if (sequence !== before) notifyListeners();
    },
    replace(listing) {
      const before = sequence;
      const wasSynced = synced;
      if (isRestored(entries, listing, contentRevision)) reset(listing);
      else recordDifference(listing);
      revision = listing.revision;
      synced = true;
      if (sequence !== before || !wasSynced) notifyListeners();
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

function isNew(known: StoreEntry | undefined, change: StoreChange): boolean {
  if (!known) return change.entry !== undefined;
  return change.revision > known.version;
}

function isRestored(
  entries: ReadonlyMap<string, StoreEntry>,
  listing: StoreListing,
  contentRevision: number,
): boolean {
  if (listing.revision < contentRevision) return true;
  return listing.entries.some(entry => {
    const known = entries.get(entry.key);
    if (!known) return false;
    const rewritten =
      known.version === entry.version && known.value !== entry.value;
    return known.version > entry.version || rewritten;
  });
}
