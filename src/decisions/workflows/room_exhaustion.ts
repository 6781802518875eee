import {Capacity} from '../../types/workflow';
import {HostRoom, getRequiredCapacity} from './host_room';
import {PlacementCandidate} from './placement_pass';
import {TaskPhase} from './task_record';

/**
 * Tells when no host of a pass has room for any of its waiting tasks.
 *
 * Load: hundreds of workflows wait for a full pool. Nearly all of them have
 * been tried in earlier passes, so a pass can end once the room that became
 * free is used.
 */
export interface RoomExhaustion {
  /** Returns whether no host has room for the smallest waiting task. */
  isReached(): boolean;
}

/**
 * Creates the check of a pass. Room only shrinks during a pass, so hosts that
 * are too full are looked at once.
 *
 * @param rooms hosts of the pass
 * @param candidates workflows with waiting tasks
 */
export function createRoomExhaustion(
  rooms: readonly HostRoom[],
  candidates: readonly PlacementCandidate[],
): RoomExhaustion {
  const smallest = findSmallest(candidates);
  let index = 0;

  return {
    isReached() {
      while (index < rooms.length && !fits(smallest, rooms[index])) index += 1;
      return index >= rooms.length;
    },
  };
}

/** Returns the least that a waiting task needs of each resource. */
function findSmallest(candidates: readonly PlacementCandidate[]): Capacity {
  let cpuMillis = Infinity;
  let memoryMb = Infinity;
  let accelerators = Infinity;
  for (const {groups} of candidates) {
    for (const group of groups) {
      if (!group.some(({phase}) => phase === TaskPhase.Waiting)) continue;
      const need = getRequiredCapacity(group[0].step);
      cpuMillis = Math.min(cpuMillis, need.cpuMillis);
      memoryMb = Math.min(memoryMb, need.memoryMb);
      accelerators = Math.min(accelerators, need.accelerators);
    }
  }
  return {cpuMillis, memoryMb, accelerators};
}

function fits(size: Capacity, {free}: HostRoom): boolean {
  return (
    size.cpuMillis <= free.cpuMillis &&
    size.memoryMb <= free.memoryMb &&
    size.accelerators <= free.accelerators
  );
}
