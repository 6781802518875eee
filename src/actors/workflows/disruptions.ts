import {
  AvailabilityView,
  Placement,
  TaskRecord,
  mayEvacuateTask,
  mayStopTask,
} from '../../decisions/workflows';
import {AvailabilityLog} from './availability_log';

/**
 * Stops tasks for the sake of their hosts, within the number of tasks of a step
 * that may be away at the same time. Every such order passes here; stops of
 * work that is cancelled or done do not.
 */
export interface Disruptions {
  /** Stops a task's run for the maintenance of its host, if that is allowed. */
  stopForUpkeep(task: TaskRecord): void;
  /**
   * Stops a task's run on a host that leaves, if that is allowed or can't wait
   * any longer.
   *
   * @param drainingMs time in ms for which the host has been draining
   */
  evacuate(task: TaskRecord, drainingMs: number): void;
  /**
   * Returns whether the stop of a task's run may be sent again: what allowed it
   * may have changed since.
   */
  mayRepeat(task: TaskRecord): boolean;
}

/** Dependencies of the disruptions of a term. */
export interface DisruptionsOptions {
  /** Returns all tasks of a task's step. */
  readonly listGroup: (task: TaskRecord) => readonly TaskRecord[];
  readonly getView: () => AvailabilityView;
  readonly stop: (task: TaskRecord, cause: string) => void;
  readonly log: AvailabilityLog;
}

/**
 * Time in ms for which a task on a draining host waits for stops under way;
 * half of the minimum time before the host leaves.
 */
const MAX_EVACUATION_WAIT_MS = 1_000;

const UPKEEP = 'upkeep';
const LEAVES = 'host leaves';

/** Creates the disruptions of a term. */
export function createDisruptions({
  listGroup,
  getView,
  stop,
  log,
}: DisruptionsOptions): Disruptions {
  /** Runs that were stopped for upkeep, whose stops are repeated only if allowed. */
  const stoppedForUpkeep = new WeakSet<Placement>();

  function mayStop(task: TaskRecord): boolean {
    return mayStopTask(listGroup(task), task, getView());
  }

  return {
    stopForUpkeep(task) {
      const {placement} = task;
      if (!placement || placement.stopping) return;
      if (!mayStop(task)) return log.recordHeld(task, UPKEEP);
      stoppedForUpkeep.add(placement);
      stop(task, UPKEEP);
    },
    evacuate(task, drainingMs) {
      if (task.placement?.stopping) return;
      const group = listGroup(task);
      const view = getView();
      const isAllowed = mayEvacuateTask(group, task, view);
      const isUrgent = drainingMs >= MAX_EVACUATION_WAIT_MS;
      if (!isAllowed) {
        const isForced = isUrgent && mayEvacuateTask(group, task, view, true);
        if (!isForced) return log.recordHeld(task, LEAVES);
        log.recordForced(task, LEAVES);
      }
      stop(task, LEAVES);
    },
    mayRepeat(task) {
      const {placement} = task;
      if (!placement || !stoppedForUpkeep.has(placement)) return true;
      return getView().isLeaving(task) || mayStop(task);
    },
  };
}
