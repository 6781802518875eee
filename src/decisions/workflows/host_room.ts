import {Capacity, Step, TaskHost} from '../../types/workflow';
import {TaskRecord} from './task_record';

/** A host with its free capacity, which is updated as tasks are placed. */
export interface HostRoom {
  readonly host: TaskHost;
  readonly free: {
    cpuMillis: number;
    memoryMb: number;
    accelerators: number;
  };
  /** Number of tasks on the host by task group. */
  readonly groups: Map<string, number>;
  /** Tasks on the host whose runs it has not listed in a report yet. */
  readonly starting: Set<TaskRecord>;
  /** Number of tasks with a target for their response times. */
  serving: number;
  /**
   * Number of filler tasks, which only use processor time that other tasks
   * leave idle.
   */
  filling: number;
  /** Whether the host is used only if no healthy one has room. */
  degraded: boolean;
}

/** Creates the room of a host on which tasks are placed. */
export function createHostRoom(
  host: TaskHost,
  tasks: Iterable<TaskRecord>,
): HostRoom {
  const room: HostRoom = {
    host,
    free: {...host.capacity},
    groups: new Map(),
    starting: new Set(),
    serving: 0,
    filling: 0,
    degraded: false,
  };
  for (const task of tasks) {
    reserveRoom(room, task.step, task.group);
    if (!task.placement?.listed) room.starting.add(task);
  }
  return room;
}

/**
 * Returns the capacity that a task reserves on a host; filler tasks reserve no
 * processors.
 */
export function getRequiredCapacity(step: Step): Capacity {
  return {
    cpuMillis: step.fills ? 0 : step.cpuMillis,
    memoryMb: step.memoryMb,
    accelerators: step.accelerators,
  };
}

/** Reserves the capacity of a task on a host. */
export function reserveRoom(room: HostRoom, step: Step, group: string): void {
  adjustRoom(room, step, group, 1);
}

/** Releases the capacity of a task on a host. */
export function releaseRoom(room: HostRoom, step: Step, group: string): void {
  adjustRoom(room, step, group, -1);
}

function adjustRoom(
  room: HostRoom,
  step: Step,
  group: string,
  count: number,
): void {
  const need = getRequiredCapacity(step);
  room.free.cpuMillis -= count * need.cpuMillis;
  room.free.memoryMb -= count * need.memoryMb;
  room.free.accelerators -= count * need.accelerators;
  if (step.fills) room.filling += count;
  if (step.tailTargetMs > 0) room.serving += count;
  const inGroup = (room.groups.get(group) ?? 0) + count;
  if (inGroup > 0) room.groups.set(group, inGroup);
  else room.groups.delete(group);
}

/** Returns whether a host has the label that a step needs. */
export function hasLabel({host}: HostRoom, {label}: Step): boolean {
  return label === '' || host.labels.includes(label);
}

/**
 * Returns whether a host has the free capacity and the label that a task needs,
 * within its per-host limit.
 */
export function hasRoom(room: HostRoom, step: Step, group: string): boolean {
  const {free, groups} = room;
  const need = getRequiredCapacity(step);
  if (free.cpuMillis < need.cpuMillis) return false;
  if (free.memoryMb < need.memoryMb) return false;
  if (free.accelerators < need.accelerators) return false;
  if (!hasLabel(room, step)) return false;
  if (step.perHostLimit === 0) return true;
  return (groups.get(group) ?? 0) < step.perHostLimit;
}

/**
 * Returns how many tasks of a group fit on a host, at most a limit, without
 * regard to what is kept for others.
 */
export function countFitting(
  room: HostRoom,
  step: Step,
  group: string,
  limit: number,
): number {
  if (!hasRoom(room, step, group)) return 0;
  const {free, groups} = room;
  const need = getRequiredCapacity(step);
  const ratios = [limit];
  if (need.cpuMillis > 0) ratios.push(free.cpuMillis / need.cpuMillis);
  if (need.memoryMb > 0) ratios.push(free.memoryMb / need.memoryMb);
  if (need.accelerators > 0) ratios.push(free.accelerators / need.accelerators);
  if (step.perHostLimit > 0) {
    ratios.push(step.perHostLimit - (groups.get(group) ?? 0));
  }
  return Math.floor(Math.min(...ratios));
}
