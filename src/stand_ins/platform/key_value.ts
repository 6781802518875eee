import {
  StoreChange,
  StoreChanges,
  StoreEntry,
  StoreListing,
  StorePut,
  Swap,
  SwapResult,
  Transaction,
  TransactionResult,
} from '../../ports';

/** Key-value service in memory, without any transport. */
export interface KeyValue {
  get(key: string): StoreEntry | undefined;
  list(prefix: string): StoreListing;
  /** Writes or deletes one key if it is at the expected version. */
  swap(swap: Swap): SwapResult;
  /** Applies all changes of a transaction, or none if a condition fails. */
  transact(transaction: Transaction): TransactionResult;
  /** Grants a lease of the given length in ms and returns its id. */
  grantLease(lengthMs: number): string;
  /**
   * Renews a lease for its full length; returns false if it has expired or been
   * revoked.
   */
  renewLease(leaseId: string): boolean;
  /** Revokes a lease and deletes its keys. */
  revokeLease(leaseId: string): void;
  /** Waits up to `waitMs` for changes under a prefix after a revision. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<StoreChanges>;
  /**
   * Counts the changes to keys under a top-level prefix, such as "claims/".
   */
  countWrites(prefix: string): number;
  /** Discards the history of changes, so that older watches must list again. */
  compact(): void;
  /** Returns a copy of all entries for a later restore. */
  backup(): readonly StoreEntry[];
  /**
   * Replaces the whole state with a backup, which may be older; revokes all
   * leases.
   */
  restore(entries: readonly StoreEntry[]): void;
  /** Stops all lease timers and ends all watches. */
  dispose(): void;
}

interface Lease {
  readonly lengthMs: number;
  readonly keys: Set<string>;
  timer: NodeJS.Timeout;
}

interface Waiter {
  readonly prefix: string;
  readonly wake: () => void;
}

/** Maximum number of changes kept for watches; the oldest are compacted. */
const MAX_KEPT_CHANGES = 10_000;

/** Creates an empty key-value service at revision 0. */
export function createKeyValue(): KeyValue {
  const entries = new Map<string, StoreEntry>();
  const leases = new Map<string, Lease>();
  const waiters = new Set<Waiter>();
  let changes: StoreChange[] = [];
  let compactedTo = 0;
  let revision = 0;
  let leaseCount = 0;
  /** Number of changes by top-level prefix of the key. */
  const writes = new Map<string, number>();

  function recordChange(key: string, entry: StoreEntry | undefined): void {
    changes.push({key, revision, entry});
    const topLevelPrefix = key.slice(0, key.indexOf('/') + 1);
    writes.set(topLevelPrefix, (writes.get(topLevelPrefix) ?? 0) + 1);
    if (changes.length > MAX_KEPT_CHANGES) {
      const dropped = changes.splice(0, MAX_KEPT_CHANGES / 2);
      compactedTo = dropped[dropped.length - 1].revision;
    }
    // Deferred, so that a watch receives all changes of a transaction together.
    queueMicrotask(() => {
      for (const waiter of [...waiters]) {
        if (key.startsWith(waiter.prefix)) waiter.wake();
      }
    });
  }

  function remove(key: string): void {
    if (!entries.has(key)) return;
    revision += 1;
    applyRemoval(key);
  }

  /** Deletes a key at the current revision. */
  function applyRemoval(key: string): void {
    const entry = entries.get(key);
    if (!entry) return;
    detachFromLease(entry);
    entries.delete(key);
    recordChange(key, undefined);
  }

  /** Writes a key at the current revision. */
  function applyPut({key, value, leaseId}: StorePut): void {
    const previous = entries.get(key);
    if (previous) detachFromLease(previous);
    const entry = {key, value, version: revision, leaseId};
    entries.set(key, entry);
    if (leaseId !== undefined) leases.get(leaseId)?.keys.add(key);
    recordChange(key, entry);
  }

  function holds([key, version]: readonly [string, number]): boolean {
    return (entries.get(key)?.version ?? 0) === version;
  }

  function detachFromLease(entry: StoreEntry): void {
    if (entry.leaseId) leases.get(entry.leaseId)?.keys.delete(entry.key);
  }

  function endLease(leaseId: string): void {
    const lease = leases.get(leaseId);
    if (!lease) return;
    clearTimeout(lease.timer);
    leases.delete(leaseId);
    for (const key of [...lease.keys]) remove(key);
  }

  function startTimer(leaseId: string, lengthMs: number): NodeJS.Timeout {
    const timer = setTimeout(() => endLease(leaseId), lengthMs);
    timer.unref?.();
    return timer;
  }

  function getChangesAfter(
    prefix: string,
    afterRevision: number,
  ): StoreChanges {
    return {
      revision,
      compacted: afterRevision < compactedTo,
      changes: changes.filter(
        change =>
          change.revision > afterRevision && change.key.startsWith(prefix),
      ),
    };
  }

  return {
    get: key => entries.get(key),
    list: prefix => ({
      revision,
      entries: [...entries.values()].filter(e => e.key.startsWith(prefix)),
    }),
    swap({key, expectedVersion, value, leaseId}) {
      const found = entries.get(key);
      const version = found?.version ?? 0;
      if (version !== expectedVersion) return {swapped: false, version, found};
      const lease = leaseId === undefined ? undefined : leases.get(leaseId);
      if (leaseId !== undefined && !lease) {
        return {swapped: false, version, found};
      }
      if (value === undefined) {
        remove(key);
        return {swapped: true, version: 0};
      }
      revision += 1;
      applyPut({key, value, leaseId});
      return {swapped: true, version: revision};
    },
    transact({conditions, puts, removals}) {
      const leased = puts.flatMap(put => put.leaseId ?? []);
      if (
        ![...conditions].every(holds) ||
        !leased.every(leaseId => leases.has(leaseId))
      ) {
        const found = [...conditions.keys()].flatMap(
          key => entries.get(key) ?? [],
        );
        return {applied: false, revision: 0, found};
      }
      revision += 1;
      for (const put of puts) applyPut(put);
      for (const key of removals) applyRemoval(key);
      return {applied: true, revision, found: []};
    },
    grantLease(lengthMs) {
      leaseCount += 1;
      const leaseId = `lease-${leaseCount}`;
      const timer = startTimer(leaseId, lengthMs);
      leases.set(leaseId, {lengthMs, keys: new Set(), timer});
      return leaseId;
    },
    renewLease(leaseId) {
      const lease = leases.get(leaseId);
      if (!lease) return false;
      clearTimeout(lease.timer);
      lease.timer = startTimer(leaseId, lease.lengthMs);
      return true;
    },
    revokeLease: endLease,
    watch(prefix, afterRevision, waitMs) {
      const seen = getChangesAfter(prefix, afterRevision);
      const restored = afterRevision > revision;
      if (seen.changes.length > 0 || seen.compacted || restored) {
        return Promise.resolve(seen);
      }
      return new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer);
          waiters.delete(waiter);
          resolve(getChangesAfter(prefix, afterRevision));
        };
        const waiter = {prefix, wake: finish};
        const timer = setTimeout(finish, waitMs);
        timer.unref?.();
        waiters.add(waiter);
      });
    },
    countWrites: prefix => writes.get(prefix) ?? 0,
    compact() {
      changes = [];
      compactedTo = revision;
    },
    backup: () => [...entries.values()],
    restore(backup) {
      for (const leaseId of [...leases.keys()]) endLease(leaseId);
      entries.clear();
      for (const entry of backup) entries.set(entry.key, {...entry});
      revision = Math.max(0, ...backup.map(entry => entry.version));
      changes = [];
      compactedTo = revision;
      for (const waiter of [...waiters]) waiter.wake();
    },
    dispose() {
      for (const lease of leases.values()) clearTimeout(lease.timer);
      for (const waiter of [...waiters]) waiter.wake();
    },
  };
}
