import {shareFairly} from './share_fairly';

/** Demand of one borrower for a pool's slots. */
export interface SlotNeed {
  /** Recent maximum of requests that waited or ran at the same time. */
  readonly peak: number;
  /** Number of slots that sustain the average demand, without peaks. */
  readonly need: number;
}

/**
 * Shares slots in three rounds: average demand first, then peaks, then headroom
 * for increasing demand.
 *
 * @param capacity number of slots to share
 * @param needs demand of the borrowers, in a fixed order
 * @param headroom number of slots that each borrower should hold beyond its
 *     peak
 * @returns number of slots of each borrower; in total at most the capacity
 */
export function shareByNeed(
  capacity: number,
  needs: readonly SlotNeed[],
  headroom: number,
): readonly number[] {
  const averages = needs.map(({peak, need}) =>
    Math.min(peak, Math.round(need)),
  );
  const rounds = [
    averages,
    needs.map(({peak}, i) => peak - averages[i]),
    needs.map(() => headroom),
  ];
  let left = capacity;
  let shares: readonly number[] = needs.map(() => 0);
  for (const round of rounds) {
    const given = shareFairly(left, round);
    left -= given.reduce((sum, slots) => sum + slots, 0);
    shares = shares.map((slots, i) => slots + given[i]);
  }
  return shares;
}
