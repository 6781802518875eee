import {Workflow} from '../../types/workflow';
import {MAX_LATENESS_FACTOR, getCriticalPathMs} from './order_workflows';
import {RefusalCause} from './refusal_cause';

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
  /**
   * Number of tasks that the leader holds; absent in reports of earlier
   * versions.
   */
  readonly tasks?: number;
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
  /**
   * Load of the organisations that have to wait, by name; absent in reports of
   * earlier versions and without organisations.
   */
  readonly organisations?: Readonly<Record<string, OrganisationLoad>>;
}

/** Load that an organisation has caused in one pool. */
export interface OrganisationLoad {
  /**
   * Time in ms to finish its own accepted work with its share of the pool.
   */
  readonly drainMs: number;
  /**
   * Time in ms until its submissions are within its rate again; absent if they
   * are.
   */
  readonly excessMs?: number;
}

/** A refusal with the numbers that decided it. */
export interface AdmissionRefusal {
  readonly cause: RefusalCause;
  /** Time in ms after which the workflow would be accepted. */
  readonly retryAfterMs: number;
  /** Time in ms to finish the accepted work before it. */
  readonly drainMs: number;
  /** Maximum of that time in ms for the workflow to be accepted. */
  readonly limitMs: number;
}

/**
 * Drain time in ms below which a pool is not busy and refuses no work; shorter
 * than a typical latency objective.
 */
export const BUSY_MS = 2_000;
/**
 * Maximum age in ms of a report; the leader repeats it more often while a pool
 * is busy, so an older one is that of a leader that is gone.
 */
const MAX_REPORT_AGE_MS = 6_000;
/** Minimum time in ms after which a caller is asked to come back. */
const MIN_RETRY_MS = 100;

/**
 * Decides whether a new workflow is accepted under the current load.
 *
 * During a burst beyond the fleet's capacity, work that would end too late to
 * have any value is refused immediately, to be submitted again once the backlog
 * has shrunk. The refusal of an organisation depends on its own backlog and
 * rate only. Scheduled and long-running workflows are always accepted.
 *
 * @param workflow the workflow
 * @param load the leader's last report; undefined if none was received
 * @param reportAgeMs time in ms since the report was received
 * @returns the refusal; undefined if the workflow is accepted
 */
export function checkAdmission(
  workflow: Workflow,
  load: LoadReport | undefined,
  reportAgeMs = 0,
): AdmissionRefusal | undefined {
  const pool = load?.pools[workflow.pool];
  if (!pool || reportAgeMs > MAX_REPORT_AGE_MS) return undefined;
  if (workflow.firstAt > 0) return undefined;
  if (workflow.steps.some(step => step.lasting)) return undefined;
  const limitMs = getLatestStartMs(workflow, pool);
  const {organisation} = workflow;
  if (organisation === undefined || !pool.organisations) {
    return checkDrain(pool.drainMs, limitMs, RefusalCause.Pool);
  }
  const own = pool.organisations[organisation];
  if (!own) return undefined;
  const {drainMs} = own;
  const excessMs = (own.excessMs ?? 0) - reportAgeMs;
  if (excessMs > 0 && pool.drainMs > BUSY_MS) {
    return {
      cause: RefusalCause.Rate,
      retryAfterMs: Math.ceil(
        Math.max(MIN_RETRY_MS, Math.min(excessMs, pool.drainMs - BUSY_MS)),
      ),
      drainMs: pool.drainMs,
      limitMs: BUSY_MS,
    };
  }
  return checkDrain(drainMs, limitMs, RefusalCause.Backlog);
}

/**
 * Returns the latest start in ms from now with which a workflow still has value.
 */
function getLatestStartMs(workflow: Workflow, pool: PoolLoad): number {
  const factor = pool.runTimeFactors[workflow.queue] ?? 1;
  const criticalPathMs = getCriticalPathMs(workflow.steps) * factor;
  const objectiveMs =
    workflow.stretch * criticalPathMs + workflow.targetDurationMs;
  return MAX_LATENESS_FACTOR * objectiveMs - criticalPathMs;
}

function checkDrain(
  drainMs: number,
  limitMs: number,
  cause: RefusalCause,
): AdmissionRefusal | undefined {
  if (drainMs < BUSY_MS || drainMs <= limitMs) return undefined;
  const retryAfterMs = Math.ceil(drainMs - limitMs);
  return {cause, retryAfterMs, drainMs, limitMs: Math.round(limitMs)};
}
