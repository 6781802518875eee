import {TaskRecord} from './task_record';

/** Why a long-running task is not known to be serving. */
export enum Absence {
  /** It has no run. */
  Waiting = 'waiting',
  /** Its host has not confirmed the start of its run. */
  Ordered = 'ordered',
  /** Its run was ordered to stop. */
  Stopping = 'stopping',
  /** Its run is starting up. */
  Starting = 'starting',
  /** Its host has not listed its run recently. */
  Unreported = 'unreported',
  /** Its run is of an earlier term, whose leader may have ordered it to stop. */
  Adopted = 'adopted',
  /** It serves on a host that leaves. */
  Leaving = 'leaving',
}

/** Availability of the other tasks of a step, as the leader knows it. */
export interface StepAvailability {
  /** Tasks that are not serving, with the reason. */
  readonly absent: ReadonlyMap<TaskRecord, Absence>;
  /** Age in ms of the oldest report by which a task counts as serving. */
  readonly maxReportAgeMs: number;
}

/** What the leader knows beside the records of a step's tasks. */
export interface AvailabilityView {
  /** Monotonic time in ms. */
  readonly now: number;
  /**
   * Time in ms, after the first report to this leader, until a stop that an
   * earlier one has ordered is certainly over.
   */
  readonly stopMs: number;
  /** Returns whether the host of a task's run is draining. */
  readonly isLeaving: (task: TaskRecord) => boolean;
}

/** Progress in percent at which a long-running task is serving. */
const SERVING_PERCENT = 100;
/**
 * Maximum age in ms of the last report that lists a serving task; covers one
 * report interval and a slow response.
 */
const MAX_REPORT_AGE_MS = 1_500;

/** Returns whether a run is past its startup, by its reported progress. */
export function isStarted(percent: number): boolean {
  return percent >= SERVING_PERCENT;
}

/**
 * Returns why a task is not serving, or may soon not be, according to a recent
 * report of its host; undefined if it is serving.
 */
export function findAbsence(
  task: TaskRecord,
  {now, stopMs, isLeaving}: AvailabilityView,
): Absence | undefined {
  const {placement} = task;
  if (placement === undefined) return Absence.Waiting;
  if (placement.stopping) return Absence.Stopping;
  const {isAdopted, confirmed, confirmedAt} = placement;
  if (!confirmed) return isAdopted ? Absence.Adopted : Absence.Ordered;
  if (!isStarted(placement.percent)) return Absence.Starting;
  if (now - placement.seenAt >= MAX_REPORT_AGE_MS) return Absence.Unreported;
  if (isLeaving(task)) return Absence.Leaving;
  if (isAdopted && now < confirmedAt + stopMs) return Absence.Adopted;
  return undefined;
}

/**
 * Returns what is known of the other tasks of a step.
 *
 * @param group all tasks of the step
 * @param task the task that is left out
 * @param view what else the leader knows
 */
export function measureAvailability(
  group: readonly TaskRecord[],
  task: TaskRecord,
  view: AvailabilityView,
): StepAvailability {
  const absent = new Map<TaskRecord, Absence>();
  let maxReportAgeMs = 0;
  for (const other of group) {
    if (other === task) continue;
    const absence = findAbsence(other, view);
    if (absence) absent.set(other, absence);
    else {
      const seenAt = other.placement?.seenAt ?? view.now;
      maxReportAgeMs = Math.max(maxReportAgeMs, view.now - seenAt);
    }
  }
  return {absent, maxReportAgeMs};
}

/**
 * Returns whether a task may be stopped for maintenance without exceeding the
 * number of tasks of its step that may be away at the same time. Tasks on hosts
 * that leave count as away, as they go soon in any case.
 */
export function mayStopTask(
  group: readonly TaskRecord[],
  task: TaskRecord,
  view: AvailabilityView,
): boolean {
  const {mayMiss} = task.step;
  if (mayMiss === undefined) return true;
  return measureAvailability(group, task, view).absent.size < mayMiss;
}

/**
 * Returns whether a task may be moved off a host that leaves. Its own stop is
 * always allowed, but must not come before that of another task which was
 * allowed while this one served.
 *
 * @param group all tasks of the step
 * @param task the task on the host that leaves
 * @param view what else the leader knows
 * @param isUrgent whether it waits only for stops that certainly end soon,
 *     because their hosts have answered
 */
export function mayEvacuateTask(
  group: readonly TaskRecord[],
  task: TaskRecord,
  view: AvailabilityView,
  isUrgent = false,
): boolean {
  const {mayMiss} = task.step;
  if (mayMiss === undefined) return true;
  const {absent} = measureAvailability(group, task, view);
  let away = 0;
  let isStopUnderWay = false;
  for (const [other, absence] of absent) {
    if (absence !== Absence.Leaving) away += 1;
    if (absence !== Absence.Stopping && absence !== Absence.Adopted) continue;
    if (view.isLeaving(other)) continue;
    isStopUnderWay ||= !isUrgent || endsSoon(other, view);
  }
  return !isStopUnderWay || away < mayMiss;
}

/** Returns whether a host has answered a stop that may not be over yet. */
function endsSoon(
  {placement}: TaskRecord,
  {now, stopMs}: AvailabilityView,
): boolean {
  const {stoppedAt = 0} = placement ?? {};
  return stoppedAt > 0 && now < stoppedAt + stopMs;
}
