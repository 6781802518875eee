import {isStartingSuspect, isSuspect, mayStartOn} from './host_crash';
import {HostRoom, hasRoom, releaseRoom, reserveRoom} from './host_room';
import {TaskRecord} from './task_record';
import {UnplaceableSizes} from './unplaceable_sizes';

/** A task with the host chosen for it. */
export interface PlacedTask {
  readonly task: TaskRecord;
  readonly room: HostRoom;
}

/**
 * Score adjustments for placement preferences; the host with the highest score
 * is chosen.
 */
const RACK_BONUS = 1e6;
const AVOIDED_HOST_PENALTY = 1e9;
const COLD_HOST_PENALTY = 1e7;
const INTERFERENCE_PENALTY = 1e8;
const DEGRADED_HOST_PENALTY = 5e8;

/**
 * Places as many waiting tasks of one group as fit and reserves their capacity.
 *
 * @param tasks waiting tasks of one step and occurrence
 * @param rooms candidate hosts
 * @param isAllowed returns whether a host may run the tasks at all
 * @param unplaceable sizes for which no candidate host has room; extended
 *     unless hosts were excluded for other reasons
 */
export function placeTasks(
  tasks: readonly TaskRecord[],
  rooms: readonly HostRoom[],
  isAllowed: (room: HostRoom) => boolean,
  unplaceable: UnplaceableSizes,
): readonly PlacedTask[] {
  if (tasks.length === 0) return [];
  const {step} = tasks[0];
  if (unplaceable.has(step)) return [];
  const allowed = rooms.filter(isAllowed);
  if (step.gang) return placeGang(tasks, allowed);
  const placed = placeEach(tasks, allowed);
  if (placed.length === tasks.length) return placed;
  const isBarred =
    allowed.length < rooms.length ||
    tasks.some(isSuspect) ||
    rooms.some(isStartingSuspect);
  if (!isBarred) unplaceable.add(step);
  return placed;
}

function placeEach(
  tasks: readonly TaskRecord[],
  rooms: readonly HostRoom[],
): PlacedTask[] {
  const placed: PlacedTask[] = [];
  for (const task of tasks) {
    const room = chooseRoom(task, rooms);
    if (!room) {
      if (isSuspect(task)) continue;
      // The other tasks of the step need the same room.
      break;
    }
    reserveRoom(room, task.step, task.group);
    room.starting.add(task);
    placed.push({task, room});
  }
  return placed;
}

/**
 * Places all tasks of a gang or none, preferably on one rack if the step asks
 * for it.
 */
function placeGang(
  tasks: readonly TaskRecord[],
  rooms: readonly HostRoom[],
): readonly PlacedTask[] {
  const racks = tasks[0].step.sameRack
    ? [...new Set(rooms.map(({host}) => host.rack))]
    : [];
  const choices = [
    ...racks.map(rack => rooms.filter(({host}) => host.rack === rack)),
    rooms,
  ];
  for (const choice of choices) {
    const placed = placeEach(tasks, choice);
    if (placed.length === tasks.length) return placed;
    for (const {task, room} of placed) {
      releaseRoom(room, task.step, task.group);
      room.starting.delete(task);
    }
  }
  return [];
}

function chooseRoom(
  task: TaskRecord,
  rooms: readonly HostRoom[],
): HostRoom | undefined {
  let best: HostRoom | undefined;
  let bestScore = -Infinity;
  for (const room of rooms) {
    if (!hasRoom(room, task.step, task.group)) continue;
    if (!mayStartOn(task, room)) continue;
    const score = scoreRoom(task, room);
    if (score <= bestScore) continue;
    best = room;
    bestScore = score;
  }
  return best;
}

function scoreRoom({step, avoid}: TaskRecord, room: HostRoom): number {
  const {host, free, serving, filling, degraded: isDegraded} = room;
  // Best fit: prefers the host with the fewest free processors, so that others
  // stay empty.
  let score = -free.cpuMillis;
  if (step.dataRack !== '' && host.rack === step.dataRack) score += RACK_BONUS;
  if (avoid.has(host.id)) score -= AVOIDED_HOST_PENALTY;
  if (isDegraded) score -= DEGRADED_HOST_PENALTY;
  if (host.coldMs > 0) score -= COLD_HOST_PENALTY;
  if (step.fills) score -= INTERFERENCE_PENALTY * serving;
  if (step.tailTargetMs > 0) score -= INTERFERENCE_PENALTY * filling;
  return score;
}
