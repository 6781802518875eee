import {Member} from '../../types';
import {computeRendezvousScore} from './rendezvous_score';

/** Maximum number of pools per leader, as a multiple of the mean. */
const MAX_LOAD_FACTOR = 1.25;

/**
 * Assigns a leader to every pool.
 *
 * A live leader keeps its pools up to the load bound, so that a new member
 * causes as few changes of leaders as possible. A pool without a leader goes to
 * the member with the highest rendezvous score among those below the bound.
 *
 * @param pools names of the pools
 * @param members live members; leaving ones are not assigned any pool
 * @param leaders ids of the current leaders by pool
 * @returns ids of the assigned leaders by pool; empty if there is no member
 */
export function assignLeaders(
  pools: readonly string[],
  members: readonly Member[],
  leaders: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  const ids = members.filter(({leaving}) => !leaving).map(({id}) => id);
  if (ids.length === 0) return new Map();
  const bound = Math.ceil((pools.length / ids.length) * MAX_LOAD_FACTOR);
  const assigned = keepLeaders(pools, ids, leaders, bound);
  const loads = new Map(ids.map(id => [id, 0]));
  for (const id of assigned.values()) loads.set(id, (loads.get(id) ?? 0) + 1);
  for (const pool of [...pools].sort()) {
    if (assigned.has(pool)) continue;
    const free = ids.filter(id => (loads.get(id) ?? 0) < bound);
    const best = findHighestScore(pool, free);
    assigned.set(pool, best);
    loads.set(best, (loads.get(best) ?? 0) + 1);
  }
  return assigned;
}

function keepLeaders(
  pools: readonly string[],
  ids: readonly string[],
  leaders: ReadonlyMap<string, string>,
  bound: number,
): Map<string, string> {
  const kept = new Map<string, string>();
  for (const id of ids) {
    const led = pools.filter(pool => leaders.get(pool) === id);
    if (led.length > bound)
      led.sort(
        (a, b) => computeRendezvousScore(b, id) - computeRendezvousScore(a, id),
      );
    for (const pool of led.slice(0, bound)) kept.set(pool, id);
  }
  return kept;
}

function findHighestScore(pool: string, ids: readonly string[]): string {
  let best = ids[0];
  let bestScore = -1;
  for (const id of ids) {
    const score = computeRendezvousScore(pool, id);
    if (score <= bestScore) continue;
    best = id;
    bestScore = score;
  }
  return best;
}
