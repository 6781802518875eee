import {Capacity} from '../../types/workflow';
import {TaskRecord} from './task_record';

/**
 * Capacity of the runs that hosts may be executing, by organisation. A run
 * counts from its placement until it has certainly ended.
 */
export interface OrganisationUsage {
  /** Counts a run of a task; called once for each host that may execute it. */
  add(task: TaskRecord): void;
  /** Stops counting a run of a task. */
  remove(task: TaskRecord): void;
  /** Returns the capacity that an organisation uses on all hosts. */
  get(organisation: string): Capacity;
}

const NOTHING: Capacity = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** Creates the usage of a term, in which nothing is running. */
export function createOrganisationUsage(): OrganisationUsage {
  const used = new Map<string, Capacity>();

  function change({workflow, step}: TaskRecord, count: number): void {
    const {organisation} = workflow;
    if (organisation === undefined) return;
    const next = addTasks(used.get(organisation) ?? NOTHING, step, count);
    if (next.cpuMillis + next.memoryMb + next.accelerators === 0) {
      used.delete(organisation);
    } else used.set(organisation, next);
  }

  return {
    add: task => change(task, 1),
    remove: task => change(task, -1),
    get: organisation => used.get(organisation) ?? NOTHING,
  };
}

/** Returns a capacity increased by that of a number of tasks of one size. */
export function addTasks(
  used: Capacity,
  size: Capacity,
  count: number,
): Capacity {
  return {
    cpuMillis: used.cpuMillis + count * size.cpuMillis,
    memoryMb: used.memoryMb + count * size.memoryMb,
    accelerators: used.accelerators + count * size.accelerators,
  };
}
