/**
 * Returns the maximum number of runs that a pool's slots can complete by a
 * given time.
 *
 * Models a single queue without delays: each request starts as soon as it has
 * arrived and a slot is free.
 *
 * @param arrivals arrival times of the requests in ms, ascending
 * @param slots number of slots of the pool
 * @param runMs duration of a run in ms
 * @param until time in ms by which a run must be completed
 */
export function countPossibleRuns(
  arrivals: readonly number[],
  slots: number,
  runMs: number,
  until: number,
): number {
  const ends: number[] = [];
  for (const at of arrivals) {
    const freeAt = ends.length < slots ? at : ends[ends.length - slots];
    const end = Math.max(at, freeAt) + runMs;
    if (end > until) break;
    ends.push(end);
  }
  return ends.length;
}
