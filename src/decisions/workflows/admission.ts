import {Workflow} from '../../types/workflow';
import {MAX_LATENESS_FACTOR, getCriticalPathMs} from './order_workflows';

/**
 * Load of each pool, as published by the leader so that entry hosts can refuse
 * work without asking it.
 */
export interface LoadReport {
  readonly pools: Readonly<Record<string, PoolLoad>>;
  /**
   * Number of accepted workflows of which no task has started, by queue; absent
   * in reports of earlier versions.
   */
  readonly waiting?: Readonly<Record<string, number>>;
}

/** Load of one pool. */
export interface PoolLoad {
  /**
   * Time in ms to finish all accepted work with the capacity that the pool can
   * get.
   */
  readonly drainMs: number;
  /** Ratio of actual to declared run times, by queue. */
  readonly runTimeFactors: Readonly<Record<string, number>>;
}

/**
 * Drain time in ms below which a pool is not busy and refuses no work; shorter
 * than a typical latency objective.
 */
const BUSY_MS = 2_000;

/**
 * Decides whether a new workflow is accepted under the current load.
 *
 * During a burst beyond the fleet's capacity, work that would end too late to
 * have any value is refused immediately, to be submitted again once the backlog
 * has shrunk. Scheduled and long-running workflows are always accepted.
 *
 * @param workflow the workflow
 * @param load the leader's last report; undefined if none was received
 * @returns delay before the next attempt, in ms; undefined if the workflow is
 *     accepted
 */
export function checkAdmission(
  workflow: Workflow,
  load: LoadReport | undefined,
): number | undefined {
  const pool = load?.pools[workflow.pool];
  if (!pool || pool.drainMs < BUSY_MS || workflow.firstAt > 0) return undefined;
  if (workflow.steps.some(step => step.lasting)) return undefined;
  const factor = pool.runTimeFactors[workflow.queue] ?? 1;
  const criticalPathMs = getCriticalPathMs(workflow.steps) * factor;
  const objectiveMs =
    workflow.stretch * criticalPathMs + workflow.targetDurationMs;
  const latestStartMs = MAX_LATENESS_FACTOR * objectiveMs - criticalPathMs;
  if (pool.drainMs <= latestStartMs) return undefined;
  return Math.ceil(pool.drainMs - latestStartMs);
}
