import {HostRoom} from './host_room';
import {TaskRecord} from './task_record';

/** A host and the monotonic time in ms from which it has room for a task. */
export interface Fit {
  readonly room: HostRoom;
  readonly at: number;
}

/**
 * Returns the times from which a host has room for one task, for two, and so
 * on, up to a number of tasks.
 */
export type ListFitTimes = (room: HostRoom, limit: number) => readonly number[];

/**
 * Returns the hosts that will have room for one more task, but not yet, by some
 * time; earliest first.
 */
export function findFits(
  rooms: readonly HostRoom[],
  listTimes: ListFitTimes,
  now: number,
  by: number,
): readonly Fit[] {
  return listAll(rooms, listTimes, 1).filter(({at}) => at > now && at <= by);
}

/**
 * Returns the set of hosts on which all members of a gang fit first, a host as
 * often as it takes members; empty if there is none.
 *
 * @param tasks the members
 * @param rooms the hosts
 * @param listTimes returns the times from which a host has room
 * @param rackWaitMs how much longer a gang that prefers one rack waits for it
 */
export function findGangFits(
  tasks: readonly TaskRecord[],
  rooms: readonly HostRoom[],
  listTimes: ListFitTimes,
  rackWaitMs: number,
): readonly Fit[] {
  const fits = listAll(rooms, listTimes, tasks.length);
  const anywhere = fits.slice(0, tasks.length);
  if (anywhere.length < tasks.length) return [];
  if (!tasks[0].step.sameRack) return anywhere;
  const rack = findRackFits(fits, tasks.length);
  const isSoon = rack && getLastAt(rack) <= getLastAt(anywhere) + rackWaitMs;
  return isSoon ? rack : anywhere;
}

/** Returns the time from which there is room for all; the last one's. */
export function getLastAt(fits: readonly Fit[]): number {
  return fits[fits.length - 1].at;
}

/** Returns the fits of the rack that has enough of them first. */
function findRackFits(
  fits: readonly Fit[],
  count: number,
): readonly Fit[] | undefined {
  const byRack = new Map<string, Fit[]>();
  for (const fit of fits) {
    const {rack} = fit.room.host;
    const list = byRack.get(rack) ?? [];
    byRack.set(rack, list);
    list.push(fit);
    if (list.length === count) return list;
  }
  return undefined;
}

function listAll(
  rooms: readonly HostRoom[],
  listTimes: ListFitTimes,
  limit: number,
): readonly Fit[] {
  const fits: Fit[] = [];
  for (const room of rooms) {
    for (const at of listTimes(room, limit)) fits.push({room, at});
  }
  return fits.sort((a, b) => a.at - b.at);
}
