/**
 * Shares a capacity by max-min fairness: small demands are met in full, and the
 * others get equal shares.
 *
 * @param capacity number of whole units to share
 * @param demands units that each participant demands, in a fixed order
 * @returns units of each participant; in total at most the capacity
 */
export function shareFairly(
  capacity: number,
  demands: readonly number[],
): readonly number[] {
  const shares = demands.map(() => 0);
  const byDemand = demands
    .map((demand, index) => ({demand, index}))
    .sort((a, b) => a.demand - b.demand || a.index - b.index);
  let left = Math.max(0, capacity);
  let sharers = demands.length;
  for (const {demand, index} of byDemand) {
    const share = Math.min(demand, Math.floor(left / sharers));
    shares[index] = share;
    left -= share;
    sharers -= 1;
  }
  return shares;
}
