import {Capacity, TaskHost} from '../../types/workflow';
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
  /** Returns the capacity that an organisation's work of one pool uses. */
  getInPool(pool: string, organisation: string): Capacity;
}

/** No capacity at all. */
export const NO_CAPACITY: Capacity = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Creates the usage of a term, in which nothing is running. */
export function createOrganisationUsage(): OrganisationUsage {
  const total = new Map<string, Capacity>();
  const byPool = new Map<string, Map<string, Capacity>>();

  function change({workflow, step}: TaskRecord, count: number): void {
    const {organisation, pool} = workflow;
    if (organisation === undefined) return;
    changeEntry(total, organisation, step, count);
    let inPool = byPool.get(pool);
    if (!inPool) byPool.set(pool, (inPool = new Map()));
    changeEntry(inPool, organisation, step, count);
  }

  return {
    add: task => change(task, 1),
    remove: task => change(task, -1),
    get: organisation => total.get(organisation) ?? NO_CAPACITY,
    getInPool: (pool, organisation) =>
      byPool.get(pool)?.get(organisation) ?? NO_CAPACITY,
  };
}

function changeEntry(
  used: Map<string, Capacity>,
  organisation: string,
  size: Capacity,
  count: number,
): void {
  const next = addTasks(used.get(organisation) ?? NO_CAPACITY, size, count);
  if (next.cpuMillis + next.memoryMb + next.accelerators === 0) {
    used.delete(organisation);
  } else used.set(organisation, next);
}

/** Returns the sum of the capacities of hosts. */
export function sumCapacities(hosts: Iterable<TaskHost>): Capacity {
  let cpuMillis = 0;
  let memoryMb = 0;
  let accelerators = 0;
  for (const {capacity} of hosts) {
    cpuMillis += capacity.cpuMillis;
    memoryMb += capacity.memoryMb;
    accelerators += capacity.accelerators;
  }
  return {cpuMillis, memoryMb, accelerators};
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
