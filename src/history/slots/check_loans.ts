import {SlotSample} from './slot_sample';

/** A moment at which more slots of a worker were lent than it has. */
export interface OverlentSlots {
  readonly at: number;
  readonly hostId: string;
  readonly lent: number;
  readonly slots: number;
}

/**
 * Finds the moments at which loans together exceeded a worker's slots.
 *
 * @param samples loans of all entry hosts, sampled at the same moments
 * @param slotsOf slots of a worker
 */
export function findOverlentSlots(
  samples: readonly SlotSample[],
  slotsOf: (hostId: string) => number,
): readonly OverlentSlots[] {
  const sums = new Map<string, OverlentSlots>();
  for (const {at, hostId, slots, lent} of samples) {
    if (!lent) continue;
    const key = `${at}/${hostId}`;
    const sum = (sums.get(key)?.lent ?? 0) + slots;
    sums.set(key, {at, hostId, lent: sum, slots: slotsOf(hostId)});
  }
  return [...sums.values()].filter(sum => sum.lent > sum.slots);
}
