/**
 * Counts the runs that a pool's slots could end by a time, given when the requests came.
 *
 * This is one queue without any delay: each request starts as soon as it is
 * there and a slot is free.
 *
 * @param arrivals times of the requests in ms, ascending
 * @param slots slots of the pool
 * @param runMs time of a run
 * @param until time in ms by which a run must have ended
 */
export function countPossible(
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
