import {shareFairly} from './share_fairly';

/** What one borrower needs of a pool's slots. */
export interface SlotNeed {
  /** Most requests that waited or ran at once of late. */
  readonly peak: number;
  /** Slots that keep up with the demand without its peaks. */
  readonly need: number;
}

/**
 * Shares slots in three rounds: needs first, then peaks, then headroom for what may come.
 *
 * @param capacity slots to share
 * @param needs needs of the borrowers, in a fixed order
 * @param headroom slots that each borrower should hold beyond its peak
 * @returns slots of each borrower; together at most the capacity
 */
export function shareByNeed(
  capacity: number,
  needs: readonly SlotNeed[],
  headroom: number,
): readonly number[] {
  const steady = needs.map(({peak, need}) => Math.min(peak, Math.round(need)));
  const rounds = [
    steady,
    needs.map(({peak}, i) => peak - steady[i]),
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
