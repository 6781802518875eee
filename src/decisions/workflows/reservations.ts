import {Step} from '../../types/workflow';
import {Release, listFitTimes, listReleases} from './expected_ends';
import {Fit, findFits, findGangFits, getLastAt} from './find_fits';
import {isStartingSuspect, isSuspect} from './host_crash';
import {HostRoom, getRequiredCapacity, hasLabel} from './host_room';
import {PlacementPass} from './placement_pass';
import {RunTimes} from './run_times';
import {TaskRecord} from './task_record';

/** Room that is kept for tasks of one group until they can start. */
export interface Reservation {
  /** The first of the tasks. */
  readonly task: TaskRecord;
  /** Number of tasks that the hosts will have room for. */
  readonly taskCount: number;
  readonly hostIds: readonly string[];
  /** Monotonic time in ms at which the last of them is expected to start. */
  readonly at: number;
}

/** Room that is kept in one pass for work which does not fit yet. */
export interface Reservations {
  /**
   * Considers a reservation for tasks of a group that were not placed.
   *
   * @param unplaced the tasks
   * @param isAllowed returns whether a host may run the tasks at all
   * @param slackMs time in ms by which their start may be delayed
   */
  consider(
    unplaced: readonly TaskRecord[],
    isAllowed: (room: HostRoom) => boolean,
    slackMs: number,
  ): void;
  /** Returns whether any room is, or may become, kept. */
  isEmpty(): boolean;
  /** Returns how often a task was refused a host with room for it. */
  countRefusals(): number;
  /** Returns how long a task is expected to run, in ms. */
  getRunMs(task: TaskRecord): number;
  /** Returns whether a task may use a host without delaying reserved work. */
  mayUse(task: TaskRecord, room: HostRoom): boolean;
  /**
   * Updates what is kept on a host by the number of tasks that were placed on
   * it, negative if they were taken back.
   */
  use(task: TaskRecord, room: HostRoom, count: number): void;
  /** Returns the reservations of the pass, in order of urgency. */
  list(): readonly Reservation[];
}

/** Room of one host that is kept from a time on. */
interface KeptRoom {
  readonly at: number;
  /** What will be free then beside the reserved room. */
  readonly spare: {cpuMillis: number; memoryMb: number; accelerators: number};
}

interface Unplaced {
  readonly tasks: readonly TaskRecord[];
  readonly isAllowed: (room: HostRoom) => boolean;
  /** Time in ms from which on they need no room for their objective. */
  readonly startBy: number;
}

/**
 * Share of a host from which a task is large: several smaller tasks have to end
 * on one host before it fits.
 */
const LARGE_TASK_SHARE = 0.4;
/** Maximum number of groups with a reservation in one pass. */
const MAX_RESERVATIONS = 2;
/** Maximum share of a pool's hosts that are kept, unless a gang needs more. */
const MAX_KEPT_SHARE = 0.0625;
/** Maximum number of hosts whose runs are looked at for one reservation. */
const MAX_HOSTS = 96;
/**
 * Part of its run time that a gang which runs slower on several racks waits for
 * one rack.
 */
const RACK_WAIT_SHARE = 0.5;

/** Reservations of a pass that does not look ahead. */
export const NO_RESERVATIONS: Reservations = {
  consider: () => {},
  isEmpty: () => true,
  countRefusals: () => 0,
  getRunMs: () => Infinity,
  mayUse: () => true,
  use: () => {},
  list: () => [],
};

/**
 * Creates the reservations of a pass.
 *
 * A stream of small tasks would take every gap that a large one waits for. So
 * the most urgent large work that found no host gets the hosts on which it is
 * expected to fit first. Less urgent tasks may use them if they are expected to
 * end before, or fit beside it. All of it is derived from what runs and holds
 * for one pass; work that is more urgent is placed before and not affected.
 */
export function createReservations({
  rooms,
  runTimes,
  now,
  listTasks,
}: PlacementPass): Reservations {
  if (!listTasks) return NO_RESERVATIONS;
  const pending: Unplaced[] = [];
  const kept = new Map<HostRoom, KeptRoom>();
  const releases = new Map<HostRoom, readonly Release[]>();
  const reservations: Reservation[] = [];
  let consideredCount = 0;
  let refusals = 0;

  function getReleases(room: HostRoom): readonly Release[] {
    let known = releases.get(room);
    if (!known) {
      known = listReleases(listTasks!(room), runTimes, now);
      releases.set(room, known);
    }
    return known;
  }

  function plan(): void {
    for (const unplaced of pending.splice(0)) reserve(unplaced);
  }

  function reserve({tasks, isAllowed, startBy}: Unplaced): void {
    const [{step, group, avoid}] = tasks;
    const candidates: HostRoom[] = [];
    for (const room of rooms) {
      if (candidates.length === MAX_HOSTS) break;
      if (room.degraded || kept.has(room) || avoid.has(room.host.id)) continue;
      if (!hasLabel(room, step) || !isAllowed(room)) continue;
      if (!isStartingSuspect(room)) candidates.push(room);
    }
    const listFits = (room: HostRoom, limit: number) => {
      const perHost = step.perHostLimit || Infinity;
      const most = Math.min(limit, perHost - (room.groups.get(group) ?? 0));
      return listFitTimes(room, getReleases(room), step, most, now);
    };
    const fits = step.gang
      ? findGangFits(tasks, candidates, listFits, getRackWaitMs(tasks[0]))
      : findFits(candidates, listFits, now, startBy).slice(
          0,
          getLimit(tasks.length),
        );
    if (fits.length === 0) return;
    const at = getLastAt(fits);
    // A gang that fits now was not placed for another reason.
    if (at <= now || at > startBy) return;
    keep(tasks[0], fits);
  }

  /** Returns for how many tasks of a step hosts are kept. */
  function getLimit(taskCount: number): number {
    const left = Math.floor(rooms.length * MAX_KEPT_SHARE) - kept.size;
    return Math.min(taskCount, Math.max(left, kept.size > 0 ? 0 : 1));
  }

  function getRackWaitMs(task: TaskRecord): number {
    return RACK_WAIT_SHARE * estimate(task, runTimes);
  }

  function keep(task: TaskRecord, fits: readonly Fit[]): void {
    const {step} = task;
    const counts = new Map<HostRoom, number>();
    for (const {room} of fits) counts.set(room, (counts.get(room) ?? 0) + 1);
    const lastAt = getLastAt(fits);
    for (const {room, at: fitsAt} of fits) {
      const at = step.gang ? lastAt : fitsAt;
      const count = counts.get(room) ?? 0;
      kept.set(room, {at, spare: getSpare(room, at, step, count)});
    }
    reservations.push({
      task,
      taskCount: fits.length,
      hostIds: [...counts.keys()].map(({host}) => host.id),
      at: lastAt,
    });
  }

  function getSpare(
    room: HostRoom,
    at: number,
    step: Step,
    count: number,
  ): KeptRoom['spare'] {
    const spare = {...room.free};
    for (const release of getReleases(room)) {
      if (release.at > at) break;
      add(spare, release.step, 1);
    }
    add(spare, step, -count);
    return spare;
  }

  function fitsBeside(task: TaskRecord, {at, spare}: KeptRoom): boolean {
    if (now + estimate(task, runTimes) <= at) return true;
    const need = getRequiredCapacity(task.step);
    return (
      spare.cpuMillis >= need.cpuMillis &&
      spare.memoryMb >= need.memoryMb &&
      spare.accelerators >= need.accelerators
    );
  }

  return {
    consider(unplaced, isAllowed, slackMs) {
      if (consideredCount === MAX_RESERVATIONS) return;
      const [task] = unplaced;
      // Work that will miss its objective anyway keeps no room from others.
      if (slackMs <= 0 || isSuspect(task) || !isLarge(task.step, rooms)) return;
      consideredCount += 1;
      pending.push({tasks: unplaced, isAllowed, startBy: now + slackMs});
    },
    isEmpty: () => pending.length === 0 && kept.size === 0,
    countRefusals: () => refusals,
    getRunMs: task => estimate(task, runTimes),
    mayUse(task, room) {
      // What will end is only looked at if smaller work finds room.
      plan();
      const reserved = kept.get(room);
      if (!reserved || fitsBeside(task, reserved)) return true;
      refusals += 1;
      return false;
    },
    use(task, room, count) {
      const reserved = kept.get(room);
      if (!reserved) return;
      if (now + estimate(task, runTimes) <= reserved.at) return;
      add(reserved.spare, task.step, -count);
    },
    list() {
      plan();
      return reservations;
    },
  };
}

function estimate({step, workflow}: TaskRecord, runTimes: RunTimes): number {
  return step.lasting ? Infinity : runTimes.estimate(workflow.queue, step);
}

/** Returns whether tasks of a step need a large part of a host, or of several. */
function isLarge(step: Step, rooms: readonly HostRoom[]): boolean {
  if (step.fills) return false;
  if (step.gang) return true;
  const {cpuMillis, memoryMb, accelerators} = rooms[0].host.capacity;
  return (
    step.cpuMillis >= LARGE_TASK_SHARE * cpuMillis ||
    step.memoryMb >= LARGE_TASK_SHARE * memoryMb ||
    (accelerators > 0 && step.accelerators >= LARGE_TASK_SHARE * accelerators)
  );
}

function add(to: KeptRoom['spare'], step: Step, count: number): void {
  const need = getRequiredCapacity(step);
  to.cpuMillis += count * need.cpuMillis;
  to.memoryMb += count * need.memoryMb;
  to.accelerators += count * need.accelerators;
}
