import {Step, Workflow} from '../../types/workflow';

/**
 * Priority of a workflow when a pool's queues exceed its capacity.
 *
 * Long-running workflows come first, then work that can still meet its latency
 * objective, ordered by earliest objective. Work that is late but still has
 * value comes next, and all other work last.
 */
export interface Urgency {
  /** Priority class; 0 comes first. */
  readonly rank: number;
  /** Unix time in ms that orders workflows of one rank, earliest first. */
  readonly at: number;
}

/** Multiple of the latency objective up to which late work still has value. */
export const MAX_LATENESS_FACTOR = 3;

/**
 * Returns the length of the critical path through a workflow's steps, in ms.
 *
 * @param steps steps in topological order
 * @param expect returns the expected run time of a step's tasks, in ms
 */
export function getCriticalPathMs(
  steps: readonly Step[],
  expect: (step: Step) => number = step => step.estimateMs,
): number {
  const ends: number[] = [];
  steps.forEach((step, index) => {
    const start = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
    ends[index] = start + expect(step);
  });
  return Math.max(0, ...ends);
}

/**
 * Returns the urgency of a workflow.
 *
 * @param workflow the workflow
 * @param since Unix time in ms at which its latency objective starts to count
 * @param criticalPathMs estimated length of its critical path, in ms
 * @param remainingMs estimated length of the critical path of its unfinished
 *     steps, in ms
 * @param unixNow current Unix time in ms
 */
export function getUrgency(
  workflow: Workflow,
  since: number,
  criticalPathMs: number,
  remainingMs: number,
  unixNow: number,
): Urgency {
  if (workflow.steps.some(step => step.lasting)) return {rank: 0, at: 0};
  const objectiveMs =
    workflow.stretch * criticalPathMs + workflow.targetDurationMs;
  const objectiveAt = since + objectiveMs;
  if (unixNow + remainingMs <= objectiveAt) return {rank: 1, at: objectiveAt};
  const latestAt = since + MAX_LATENESS_FACTOR * objectiveMs;
  return {rank: unixNow + remainingMs <= latestAt ? 2 : 3, at: latestAt};
}

/**
 * Returns the time in ms by which a workflow may be delayed before it loses its
 * rank; negative in the last rank.
 */
export function getSlackMs(
  {rank, at}: Urgency,
  remainingMs: number,
  unixNow: number,
): number {
  return rank === 0 ? Infinity : at - unixNow - remainingMs;
}

/** Compares two urgencies for sorting, most urgent first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.rank - b.rank || a.at - b.at;
}
