import {Step, Workflow} from '../../types/workflow';

/**
 * Order of a workflow when a pool's queues exceed its capacity.
 *
 * Work without any value left comes last. All other work is ordered by the
 * priority of its queue; among equals, long-running workflows come first, then
 * work that can still meet its latency objective, ordered by earliest
 * objective, then work that is late but still has value.
 */
export interface Urgency {
  /** Priority of the queue; 0 comes first. */
  readonly priority: number;
  /** Class among workflows of one priority; 0 comes first. */
  readonly rank: number;
  /** Unix time in ms that orders workflows of one rank, earliest first. */
  readonly at: number;
}

/** Multiple of the latency objective up to which late work still has value. */
export const MAX_LATENESS_FACTOR = 3;

/** Rank of work that has no value left. */
const WORTHLESS_RANK = 3;

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
    let start = 0;
    for (const earlier of step.after) {
      start = Math.max(start, ends[earlier] ?? 0);
    }
    ends[index] = start + expect(step);
  });
  return ends.reduce((latest, end) => Math.max(latest, end), 0);
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
  const {priority} = workflow;
  if (workflow.steps.some(step => step.lasting)) {
    return {priority, rank: 0, at: 0};
  }
  const objectiveMs =
    workflow.stretch * criticalPathMs + workflow.targetDurationMs;
  const objectiveAt = since + objectiveMs;
  if (unixNow + remainingMs <= objectiveAt) {
    return {priority, rank: 1, at: objectiveAt};
  }
  const latestAt = since + MAX_LATENESS_FACTOR * objectiveMs;
  const hasValue = unixNow + remainingMs <= latestAt;
  return {priority, rank: hasValue ? 2 : WORTHLESS_RANK, at: latestAt};
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
  const aWorthless = Number(a.rank === WORTHLESS_RANK);
  const bWorthless = Number(b.rank === WORTHLESS_RANK);
  return (
    aWorthless - bWorthless ||
    a.priority - b.priority ||
    a.rank - b.rank ||
    a.at - b.at
  );
}
