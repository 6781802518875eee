import {randomUUID} from 'node:crypto';
import {Store} from '../../ports';
import {Mirror, ConfirmedWrite, WriteOutcome, write} from '../../state';
import {LeaderRecord, PoolRecord} from '../../types';

/**
 * Store writes by which a member acquires and releases the leadership of pools.
 */
export interface Elections {
  /**
   * Claims the leadership of a pool under a lease; resolves to whether the
   * claim was stored.
   */
  claim(pool: string, leaseId: string): Promise<boolean>;
  /**
   * Increments the pool's fencing term and returns it; undefined if that
   * failed.
   */
  raiseTerm(pool: string): Promise<number | undefined>;
  /** Deletes this member's claim on a pool. */
  release(pool: string): Promise<void>;
  dispose(): void;
}

/** Dependencies of the elections. */
export interface ElectionsOptions {
  readonly store: Store;
  readonly memberId: string;
  readonly claims: Mirror<LeaderRecord>;
  readonly records: Mirror<PoolRecord>;
}

const MAX_ATTEMPTS = 3;

/** Creates the elections of a member. */
export function createElections(options: ElectionsOptions): Elections {
  const {store, memberId, claims, records} = options;
  /**
   * Highest term seen of each pool; a store restored from a backup may have a
   * lower one.
   */
  const highestTerms = new Map<string, number>();

  async function raise(
    pool: string,
    attempt: number,
  ): Promise<number | undefined> {
    const key = poolKey(pool);
    const known = records.entries.get().get(key);
    const term = Math.max(known?.value.term ?? 0, highestTerms.get(pool) ?? 0);
    const record: PoolRecord = {
      unavailable: [],
      ...known?.value,
      pool,
      term: term + 1,
      leader: memberId,
      electionId: randomUUID(),
    };
    const written = await write(store, {
      key,
      expectedVersion: known?.version ?? 0,
      value: JSON.stringify(record),
    });
    if (written.outcome === WriteOutcome.Written) {
      records.applyWrite(key, written.version, record);
      return record.term;
    }
    if (written.outcome !== WriteOutcome.Conflict) return undefined;
    acceptFound(records, key, written);
    return attempt < MAX_ATTEMPTS ? raise(pool, attempt + 1) : undefined;
  }

  const unsubscribe = records.entries.onChange(entries => {
    for (const {value} of entries.values()) {
      const highest = highestTerms.get(value.pool) ?? 0;
      highestTerms.set(value.pool, Math.max(highest, value.term));
    }
  });

  return {
    async claim(pool, leaseId) {
      const key = claimKey(pool);
      const value: LeaderRecord = {
        pool,
        memberId,
        leaseId,
        electionId: randomUUID(),
        since: Date.now(),
      };
      const written = await write(store, {
        key,
        expectedVersion: claims.entries.get().get(key)?.version ?? 0,
        value: JSON.stringify(value),
        leaseId,
      });
      if (written.outcome === WriteOutcome.Written) {
        claims.applyWrite(key, written.version, value);
        return true;
      }
      if (written.outcome === WriteOutcome.Conflict) {
        acceptFound(claims, key, written);
      }
      return false;
    },
    raiseTerm: pool => raise(pool, 1),
    async release(pool) {
      const key = claimKey(pool);
      const known = claims.entries.get().get(key);
      if (!known) return;
      const written = await write(store, {
        key,
        expectedVersion: known.version,
        value: undefined,
      });
      if (written.outcome !== WriteOutcome.Written) return;
      claims.applyWrite(key, known.version + 1, undefined);
    },
    dispose: () => unsubscribe(),
  };
}

/** Returns the store key of a pool's leadership claim. */
export function claimKey(pool: string): string {
  return `leaders/${pool}`;
}

/** Returns the store key of a pool's record, which holds the fencing term. */
export function poolKey(pool: string): string {
  return `pools/${pool}`;
}

/**
 * Adds the entry found by a conflicting write to the mirror without waiting for
 * the watch.
 */
function acceptFound<T>(
  mirror: Mirror<T>,
  key: string,
  found: ConfirmedWrite,
): void {
  if (!found.found) return;
  mirror.applyWrite(key, found.version, JSON.parse(found.found.value) as T);
}
