import {Workflow} from '../../types/workflow';
import {RefusalCause} from './refusal_cause';

/** A refusal because the leader would hold too many tasks. */
export interface TaskRefusal {
  readonly cause: RefusalCause.Tasks;
  /** Time in ms after which the workflow may be accepted. */
  readonly retryAfterMs: number;
  /** Tasks that the leader is taken to hold. */
  readonly openTasks: number;
}

/** Approximate memory of parts of a workflow at the leader, in bytes. */
const TASK_BYTES = 512;
const STEP_BYTES = 256;
const DEPENDENCY_BYTES = 8;
/** Maximum number of tasks that the leader is to hold. */
const MAX_OPEN_TASKS = 100_000;
/** The same for large workflows, so that they leave room for the others. */
const MAX_OPEN_TASKS_FOR_LARGE = 60_000;
/** Size in tasks from which a workflow is large. */
const LARGE_TASKS = 1_000;
/**
 * Number of entry hosts that are taken to accept as much as this one until the
 * leader's report counts it, as they don't know of each other's.
 */
const ACCEPTING_HOSTS = 4;
const RETRY_MS = 2_000;

/**
 * Returns the size of a workflow: the tasks of all its occurrences, and its
 * description in units of the memory of a task.
 */
export function measureTasks(
  workflow: Pick<Workflow, 'spec' | 'steps' | 'occurrences'>,
): number {
  const {steps, occurrences} = workflow;
  const taskCount = steps.reduce((sum, step) => sum + step.taskCount, 0);
  return taskCount * occurrences + measureDescription(workflow);
}

/** Returns the size of a workflow without its tasks, in the same unit. */
export function measureDescription({
  spec,
  steps,
}: Pick<Workflow, 'spec' | 'steps'>): number {
  let bytes = spec.length;
  for (const {after, label, dataRack, image} of steps) {
    bytes += STEP_BYTES + after.length * DEPENDENCY_BYTES;
    bytes += label.length + dataRack.length + image.length;
  }
  return Math.floor(bytes / TASK_BYTES);
}

/**
 * Decides whether the leader can hold the tasks of a new workflow, also of one
 * that is scheduled, long-running or can't be placed.
 *
 * @param taskCount size of the workflow in tasks
 * @param reportedTasks tasks that the leader holds, by its last report
 * @param recentTasks tasks that this entry host has accepted lately, which may be
 *     missing from the report
 * @returns the refusal; undefined if the workflow may be accepted
 */
export function checkTaskLimit(
  taskCount: number,
  reportedTasks: number,
  recentTasks: number,
): TaskRefusal | undefined {
  const openTasks = reportedTasks + ACCEPTING_HOSTS * recentTasks;
  const limit =
    taskCount >= LARGE_TASKS ? MAX_OPEN_TASKS_FOR_LARGE : MAX_OPEN_TASKS;
  if (openTasks + taskCount <= limit) return undefined;
  return {cause: RefusalCause.Tasks, retryAfterMs: RETRY_MS, openTasks};
}
