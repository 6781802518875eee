import {randomUUID} from 'node:crypto';
import {StoreChange, StoreChanges, StoreEntry, StoreListing} from '../ports';

/**
 * A copy of the keys under a prefix of the store, with a log of their latest
 * changes.
 *
 * The changes are numbered by this process, independently of the store's
 * revisions.
 */
export interface ChangeLog {
  readonly prefix: string;
  /**
   * Random id of this log; sequence numbers are valid only together with it.
   */
  readonly epoch: string;
  /**
   * Returns the number of the last change; it grows even if the store's
   * revisions go backwards.
   */
  getSequence(): number;
  /** Returns the revision of the store up to which the content is complete. */
  getRevision(): number;
  /** Returns the highest revision of the store among the recorded changes. */
  getContentRevision(): number;
  /** Whether the prefix has been listed. */
  isSynced(): boolean;
  getEntries(): readonly StoreEntry[];
  /** Returns the changes after a sequence number. */
  read(afterSequence: number): StoreChanges;
  /** Adds the store's changes up to a revision. */
  append(changes: readonly StoreChange[], revision: number): void;
  /**
   * Replaces the content by a full listing.
   *
   * If revisions went backwards, the store has been restored to an earlier
   * state; the log is then reset, and readers have to list again.
   */
  replace(listing: StoreListing): void;
  /** Adds a listener for changes and returns a function that removes it. */
  onChange(listener: () => void): () => void;
}

interface LoggedChange extends StoreChange {
  readonly sequence: number;
}

/**
 * Length of an epoch in characters; kept short, as every relayed watch carries
 * it.
 */
const EPOCH_LENGTH = 8;
/** Maximum number of changes kept for readers; older ones are compacted. */
const MAX_KEPT_CHANGES = 2_000;

/** Creates an empty change log for a prefix. */
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
