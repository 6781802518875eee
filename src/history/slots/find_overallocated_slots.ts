import {SlotSample} from './slot_sample';

/** A time at which more slots of a worker were lent than it has. */
export interface OverallocatedSlots {
  /** Time of the sample in ms. */
  readonly at: number;
  readonly hostId: string;
  /** Sum of the slots lent to all entry hosts. */
  readonly lent: number;
  /** Number of slots of the worker. */
  readonly slots: number;
}

/**
 * Finds the times at which the sum of all loans exceeded a worker's slots.
 *
 * @param samples loans of all entry hosts, sampled at the same times
 * @param slotsOf returns the number of slots of a worker
 */
export function findOverallocatedSlots(
  samples: readonly SlotSample[],
  slotsOf: (hostId: string) => number,
): readonly OverallocatedSlots[] {
  const sums = new Map<string, OverallocatedSlots>();
  for (const {at, hostId, slots, lent} of samples) {
    if (!lent) continue;
    const key = `${at}/${hostId}`;
    const sum = (sums.get(key)?.lent ?? 0) + slots;
    sums.set(key, {at, hostId, lent: sum, slots: slotsOf(hostId)});
  }
  return [...sums.values()].filter(sum => sum.lent > sum.slots);
}
