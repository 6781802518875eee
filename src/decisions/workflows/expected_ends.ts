import {Step} from '../../types/workflow';
import {HostRoom, getRequiredCapacity} from './host_room';
import {RunTimes} from './run_times';
import {TaskRecord} from './task_record';

/** Part of its run time so far that an overdue run is expected to still take. */
const OVERDUE_FRACTION = 0.25;
/**
 * Maximum speed of a run as a multiple of the estimate; one that continued from
 * a checkpoint, or that an earlier leader started, seems to be faster.
 */
const MAX_SPEED = 3;
/** Percent from which the progress of a run says more than its estimate. */
const MIN_PERCENT = 5;

/** Room that becomes free on a host. */
export interface Release {
  /** Monotonic time in ms. */
  readonly at: number;
  readonly step: Step;
}

/**
 * Returns the monotonic time in ms at which the run of a placed task is
 * expected to end; infinite for long-running services.
 *
 * Declared run times may be far off, so the further a run has come, the more
 * its own speed counts.
 */
export function getExpectedEnd(
  {step, workflow, placement}: TaskRecord,
  runTimes: RunTimes,
  now: number,
): number {
  if (!placement) return Infinity;
  if (placement.stopping) return now;
  if (step.lasting) return Infinity;
  const {orderedAt, progressedAt, percent} = placement;
  const estimateMs = runTimes.estimate(workflow.queue, step);
  const elapsedMs = now - orderedAt;
  const doneShare = Math.min(1, percent / 100);
  const ownMs = Math.max(
    (progressedAt - orderedAt) / doneShare,
    estimateMs / MAX_SPEED,
  );
  const remainingMs =
    percent < MIN_PERCENT
      ? estimateMs - elapsedMs
      : (1 - doneShare) * (doneShare * ownMs + (1 - doneShare) * estimateMs) -
        (now - progressedAt);
  return now + (remainingMs > 0 ? remainingMs : elapsedMs * OVERDUE_FRACTION);
}

/** Returns what becomes free on a host by the ends of its runs, in order. */
export function listReleases(
  tasks: Iterable<TaskRecord>,
  runTimes: RunTimes,
  now: number,
): readonly Release[] {
  const releases: Release[] = [];
  for (const task of tasks) {
    const at = getExpectedEnd(task, runTimes, now);
    if (at !== Infinity) releases.push({at, step: task.step});
  }
  return releases.sort((a, b) => a.at - b.at);
}

/**
 * Returns the times at which a host will have room for one task of a step, for
 * two, and so on.
 *
 * @param room the host
 * @param releases what becomes free on it, in order
 * @param step the step
 * @param limit maximum number of tasks
 * @param now current time; tasks that fit already do so from now on
 */
export function listFitTimes(
  {free}: HostRoom,
  releases: readonly Release[],
  step: Step,
  limit: number,
  now: number,
): readonly number[] {
  const need = getRequiredCapacity(step);
  const times: number[] = [];
  let {cpuMillis, memoryMb, accelerators} = free;

  function fill(at: number): void {
    while (
      times.length < limit &&
      cpuMillis >= need.cpuMillis * (times.length + 1) &&
      memoryMb >= need.memoryMb * (times.length + 1) &&
      accelerators >= need.accelerators * (times.length + 1)
    ) {
      times.push(at);
    }
  }

  fill(now);
  for (const {at, step: ended} of releases) {
    if (times.length >= limit) break;
    const released = getRequiredCapacity(ended);
    cpuMillis += released.cpuMillis;
    memoryMb += released.memoryMb;
    accelerators += released.accelerators;
    fill(Math.max(at, now));
  }
  return times;
}
