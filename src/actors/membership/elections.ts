import {randomUUID} from 'node:crypto';
import {Store} from '../../ports';
import {Mirror, ConfirmedWrite, WriteOutcome, write} from '../../state';
import {LeaderRecord, PoolRecord} from '../../types';

/** Writes to the store by which a member takes and gives up pools. */
export interface Elections {
  /** Claims a pool under a lease; true if the claim stands. */
  claim(pool: string, leaseId: string): Promise<boolean>;
  /** Raises the pool's fencing term; undefined if that failed. */
  raiseTerm(pool: string): Promise<number | undefined>;
  /** Deletes this member's claim. */
  release(pool: string): Promise<void>;
  dispose(): void;
}

/** Where the elections get what they need. */
export interface ElectionsOptions {
  readonly store: Store;
  readonly memberId: string;
  readonly claims: Mirror<LeaderRecord>;
  readonly records: Mirror<PoolRecord>;
}

const MAX_ATTEMPTS = 3;

/** Creates the writes of one member. */
export function createElections(options: ElectionsOptions): Elections {
  const {store, memberId, claims, records} = options;
  /** Highest terms seen by pool, which a restored store may have lost. */
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
    takeOver(records, key, written);
    return attempt < MAX_ATTEMPTS ? raise(pool, attempt + 1) : undefined;
  }

  const stopFollowing = records.entries.onChange(entries => {
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
        takeOver(claims, key, written);
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
    dispose: () => stopFollowing(),
  };
}

/** Returns the key of a pool's claim. */
export function claimKey(pool: string): string {
  return `leaders/${pool}`;
}

/** Returns the key of a pool's fenced record. */
export function poolKey(pool: string): string {
  return `pools/${pool}`;
}

/** Shows the found entry in the mirror before the watch does. */
function takeOver<T>(
  mirror: Mirror<T>,
  key: string,
  found: ConfirmedWrite,
): void {
  if (!found.found) return;
  mirror.applyWrite(key, found.version, JSON.parse(found.found.value) as T);
}
