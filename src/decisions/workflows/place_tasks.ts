import {isStartingSuspect, isSuspect, mayStartOn} from './host_crash';
import {
  HostRoom,
  countFitting,
  hasRoom,
  releaseRoom,
  reserveRoom,
} from './host_room';
import {NO_RESERVATIONS, Reservations} from './reservations';
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
 * @param reservations room that is kept for more urgent tasks
 */
export function placeTasks(
  tasks: readonly TaskRecord[],
  rooms: readonly HostRoom[],
  isAllowed: (room: HostRoom) => boolean,
  unplaceable: UnplaceableSizes,
  reservations: Reservations = NO_RESERVATIONS,
): readonly PlacedTask[] {
  if (tasks.length === 0) return [];
  const [{step}] = tasks;
  const runMs = reservations.isEmpty()
    ? Infinity
    : reservations.getRunMs(tasks[0]);
  if (unplaceable.has(step, runMs)) return [];
  const allowed = rooms.filter(isAllowed);
  if (step.gang) return placeGang(tasks, allowed, reservations);
  const refusals = reservations.countRefusals();
  const placed = placeEach(tasks, allowed, reservations);
  if (placed.length === tasks.length) return placed;
  const isBarred =
    allowed.length < rooms.length ||
    tasks.some(isSuspect) ||
    rooms.some(isStartingSuspect);
  if (isBarred) return placed;
  // Tasks that end sooner may use what is kept for others.
  const isKept = reservations.countRefusals() > refusals;
  unplaceable.add(step, isKept ? runMs : 0);
  return placed;
}

function placeEach(
  tasks: readonly TaskRecord[],
  rooms: readonly HostRoom[],
  reservations: Reservations,
): PlacedTask[] {
  const placed: PlacedTask[] = [];
  for (const task of tasks) {
    const room = chooseRoom(task, rooms, reservations);
    if (!room) {
      if (isSuspect(task)) continue;
      // The other tasks of the step need the same room.
      break;
    }
    reserveRoom(room, task.step, task.group);
    room.starting.add(task);
    reservations.use(task, room, 1);
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
  reservations: Reservations,
): readonly PlacedTask[] {
  const [{step}] = tasks;
  const choices = [...(step.sameRack ? listRacks(tasks, rooms) : []), rooms];
  for (const choice of choices) {
    const placed = placeEach(tasks, choice, reservations);
    if (placed.length === tasks.length) return placed;
    for (const {task, room} of placed) {
      releaseRoom(room, task.step, task.group);
      room.starting.delete(task);
      reservations.use(task, room, -1);
    }
  }
  return [];
}

/**
 * Returns the hosts of each rack with room for a whole gang, the rack with its
 * data and then those with the least room first, so that others stay free for
 * larger gangs.
 */
function listRacks(
  tasks: readonly TaskRecord[],
  rooms: readonly HostRoom[],
): readonly (readonly HostRoom[])[] {
  const [{step, group}] = tasks;
  const byRack = new Map<string, {rooms: HostRoom[]; count: number}>();
  for (const room of rooms) {
    const count = countFitting(room, step, group, tasks.length);
    if (count === 0) continue;
    const rack = byRack.get(room.host.rack) ?? {rooms: [], count: 0};
    byRack.set(room.host.rack, rack);
    rack.rooms.push(room);
    rack.count += count;
  }
  const dataRack = byRack.get(step.dataRack);
  return [...byRack.values()]
    .filter(({count}) => count >= tasks.length)
    .sort((a, b) => rank(a) - rank(b))
    .map(rack => rack.rooms);

  function rank(rack: {readonly count: number}): number {
    return rack === dataRack ? 0 : rack.count;
  }
}

function chooseRoom(
  task: TaskRecord,
  rooms: readonly HostRoom[],
  reservations: Reservations,
): HostRoom | undefined {
  const isKept = !reservations.isEmpty();
  let best: HostRoom | undefined;
  let bestScore = -Infinity;
  for (const room of rooms) {
    if (!hasRoom(room, task.step, task.group)) continue;
    if (!mayStartOn(task, room)) continue;
    const score = scoreRoom(task, room);
    if (score <= bestScore) continue;
    if (isKept && !reservations.mayUse(task, room)) continue;
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
