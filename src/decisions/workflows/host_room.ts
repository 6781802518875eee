import {Capacity, Step, TaskHost} from '../../types/workflow';

/** A host as placement sees it; its room shrinks as tasks are placed. */
export interface HostRoom {
  readonly host: TaskHost;
  readonly free: {
    cpuMillis: number;
    memoryMb: number;
    accelerators: number;
  };
  /** Tasks on the host by their group. */
  readonly groups: Map<string, number>;
  /** Lasting tasks with a target for their response times. */
  serving: number;
  /** Tasks that use what others leave. */
  filling: number;
  /** Its host is used only if no sound one has room. */
  doubtful: boolean;
}

/** Returns what a task takes of a host's room. */
export function getNeed(step: Step): Capacity {
  return {
    cpuMillis: step.fills ? 0 : step.cpuMillis,
    memoryMb: step.memoryMb,
    accelerators: step.accelerators,
  };
}

/** Takes the room of a task on a host. */
export function takeRoom(room: HostRoom, step: Step, group: string): void {
  changeRoom(room, step, group, 1);
}

/** Gives the room of a task back. */
export function returnRoom(room: HostRoom, step: Step, group: string): void {
  changeRoom(room, step, group, -1);
}

function changeRoom(
  room: HostRoom,
  step: Step,
  group: string,
  count: number,
): void {
  const need = getNeed(step);
  room.free.cpuMillis -= count * need.cpuMillis;
  room.free.memoryMb -= count * need.memoryMb;
  room.free.accelerators -= count * need.accelerators;
  if (step.fills) room.filling += count;
  if (step.tailTargetMs > 0) room.serving += count;
  const inGroup = (room.groups.get(group) ?? 0) + count;
  if (inGroup > 0) room.groups.set(group, inGroup);
  else room.groups.delete(group);
}

/** Tells whether a host may run a task now. */
export function hasRoom(
  {host, free, groups}: HostRoom,
  step: Step,
  group: string,
): boolean {
  const need = getNeed(step);
  if (free.cpuMillis < need.cpuMillis) return false;
  if (free.memoryMb < need.memoryMb) return false;
  if (free.accelerators < need.accelerators) return false;
  if (step.label !== '' && !host.labels.includes(step.label)) return false;
  if (step.perHostLimit === 0) return true;
  return (groups.get(group) ?? 0) < step.perHostLimit;
}
