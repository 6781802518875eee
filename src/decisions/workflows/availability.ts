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
}

/** Availability of the other tasks of a step, as the leader knows it. */
export interface StepAvailability {
  /** Tasks that are not serving, with the reason. */
  readonly absent: ReadonlyMap<TaskRecord, Absence>;
  /** Age in ms of the oldest report by which a task counts as serving. */
  readonly maxReportAgeMs: number;
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
 * Returns why a task is not serving, according to a recent report of its host;
 * undefined if it is.
 *
 * @param now monotonic time in ms
 */
export function findAbsence(
  {placement}: TaskRecord,
  now: number,
): Absence | undefined {
  if (placement === undefined) return Absence.Waiting;
  if (placement.stopping) return Absence.Stopping;
  if (!placement.confirmed) return Absence.Ordered;
  if (!isStarted(placement.percent)) return Absence.Starting;
  if (now - placement.seenAt >= MAX_REPORT_AGE_MS) return Absence.Unreported;
  return undefined;
}

/**
 * Returns what is known of the other tasks of a step.
 *
 * @param group all tasks of the step
 * @param task the task that is left out
 * @param now monotonic time in ms
 */
export function measureAvailability(
  group: readonly TaskRecord[],
  task: TaskRecord,
  now: number,
): StepAvailability {
  const absent = new Map<TaskRecord, Absence>();
  let maxReportAgeMs = 0;
  for (const other of group) {
    if (other === task) continue;
    const absence = findAbsence(other, now);
    if (absence) absent.set(other, absence);
    else {
      const seenAt = other.placement?.seenAt ?? now;
      maxReportAgeMs = Math.max(maxReportAgeMs, now - seenAt);
    }
  }
  return {absent, maxReportAgeMs};
}

/**
 * Returns whether a task may be stopped without exceeding the number of tasks
 * of its step that may be down at the same time.
 */
export function mayStopTask(
  group: readonly TaskRecord[],
  task: TaskRecord,
  now: number,
): boolean {
  const {mayMiss} = task.step;
  if (mayMiss === undefined) return true;
  return measureAvailability(group, task, now).absent.size < mayMiss;
}
