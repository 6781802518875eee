import {
  AvailabilityView,
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
  function isStopping({placement}: TaskRecord): boolean {
    return placement === undefined || placement.stopping;
  }

  return {
    stopForUpkeep(task) {
      if (isStopping(task)) return;
      if (mayStopTask(listGroup(task), task, getView())) stop(task, UPKEEP);
      else log.recordHeld(task, UPKEEP);
    },
    evacuate(task, drainingMs) {
      if (isStopping(task)) return;
      if (mayEvacuateTask(listGroup(task), task, getView())) {
        return stop(task, LEAVES);
      }
      if (drainingMs < MAX_EVACUATION_WAIT_MS) {
        return log.recordHeld(task, LEAVES);
      }
      log.recordForced(task, LEAVES);
      stop(task, LEAVES);
    },
  };
}
