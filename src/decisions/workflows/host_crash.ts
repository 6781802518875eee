import {HostRoom} from './host_room';
import {TaskRecord} from './task_record';

/**
 * Number of crashes after which a task is given up if each time it was the only
 * one that its host was starting.
 */
const MAX_OWN_CRASHES = 2;
/** Number of crashes after which a task that ends by itself is given up. */
const MAX_SHARED_CRASHES = 4;

/**
 * Counts the crash of a host against the tasks that may have caused it.
 *
 * A host that lists a run in a report has survived its start. So the runs that
 * were not listed yet are the likely cause; if all were, any run may be.
 *
 * @param tasks the tasks that were placed on the host
 * @returns the tasks that must not be started again; no lasting one whose start
 *     a host has survived, as it is promised to be started again however it ends
 */
export function recordCrash(
  tasks: readonly TaskRecord[],
): readonly TaskRecord[] {
  const starting = tasks.filter(({placement}) => !placement?.listed);
  const suspects =
    starting.length > 0 ? starting : tasks.filter(({step}) => !step.lasting);
  const isOnlyOne = starting.length === 1 && starting[0].placement?.confirmed;
  for (const task of suspects) {
    task.crashes += 1;
    if (isOnlyOne) task.ownCrashes += 1;
  }
  return suspects.filter(({crashes, ownCrashes, hasBeenListed, step}) => {
    if (step.lasting && hasBeenListed) return false;
    if (ownCrashes >= MAX_OWN_CRASHES) return true;
    return !step.lasting && crashes >= MAX_SHARED_CRASHES;
  });
}

/**
 * Returns whether a task may have caused the crash of a host and can be started
 * alone, unlike the members of a gang.
 */
export function isSuspect({crashes, step}: TaskRecord): boolean {
  return crashes > 0 && !step.gang;
}

/** Returns whether a host is starting a task that may crash it. */
export function isStartingSuspect({starting}: HostRoom): boolean {
  for (const task of starting) if (isSuspect(task)) return true;
  return false;
}

/**
 * Returns whether a task may be started on a host now.
 *
 * A suspect is started alone, so that another crash has one possible cause.
 */
export function mayStartOn(task: TaskRecord, room: HostRoom): boolean {
  return isSuspect(task) ? room.starting.size === 0 : !isStartingSuspect(room);
}
