import {Store, StoreEntry} from '../../ports';
import {LEADER_KEY, WITHDRAWAL_PREFIX} from './keys';

/** Removes withdrawals that no submission in transit can meet any more. */
export interface WithdrawalCleanup {
  /** Removes the expired withdrawals; called regularly. */
  review(): Promise<void>;
}

/** A withdrawal as this leader has seen it. */
interface Sighting {
  readonly version: number;
  /** Monotonic time in ms at which this version was first seen. */
  readonly at: number;
}

/**
 * Time in ms for which a withdrawal is kept: longer than a write may be late,
 * and than an entry host that stands still may hold a submission.
 */
const KEPT_MS = 60_000;
/** Maximum number of removals in a write, which has a condition for each. */
const MAX_BATCH = 15;

/**
 * Creates the cleanup of a term.
 *
 * It counts from the time at which this leader first saw a withdrawal, as the
 * clocks of entry hosts differ. A leader removes all withdrawals, since nobody
 * else may know the ids.
 *
 * @param store the key-value store
 * @param fence the leader's fencing token, a condition of each write
 */
export function createWithdrawalCleanup(
  store: Store,
  fence: number,
): WithdrawalCleanup {
  let sightings: ReadonlyMap<string, Sighting> = new Map();

  async function remove(expired: readonly StoreEntry[]): Promise<void> {
    await store.transact({
      conditions: new Map([
        [LEADER_KEY, fence],
        ...expired.map(({key, version}) => [key, version] as const),
      ]),
      puts: [],
      removals: expired.map(({key}) => key),
    });
  }

  return {
    async review() {
      const listing = await store.list(WITHDRAWAL_PREFIX);
      if (listing.isErr) return;
      const now = performance.now();
      const seen = new Map<string, Sighting>();
      const expired: StoreEntry[] = [];
      for (const entry of listing.value.entries) {
        const {key, version} = entry;
        const known = sightings.get(key);
        const at = known?.version === version ? known.at : now;
        seen.set(key, {version, at});
        if (now - at >= KEPT_MS) expired.push(entry);
      }
      sightings = seen;
      for (let from = 0; from < expired.length; from += MAX_BATCH) {
        await remove(expired.slice(from, from + MAX_BATCH));
      }
    },
  };
}
