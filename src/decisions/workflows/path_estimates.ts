import {getCriticalPathMs} from './order_workflows';
import {RunTimes} from './run_times';
import {TaskPhase} from './task_record';
import {WorkflowRecord, getFirstUnfinishedOccurrence} from './workflow_record';

/** Estimated durations of a workflow's current occurrence. */
export interface PathEstimate {
  readonly occurrence: number;
  /** Length of the critical path through all steps, in ms. */
  readonly criticalPathMs: number;
  /** Length of the critical path through the unfinished steps, in ms. */
  readonly remainingMs: number;
}

/** Estimates the durations of waiting workflows for their order of placement. */
export interface PathEstimates {
  /**
   * Returns the estimate of a workflow.
   *
   * @param record the workflow
   * @param now monotonic time in ms
   */
  get(record: WorkflowRecord, now: number): PathEstimate;
}

interface CachedEstimate {
  readonly estimate: PathEstimate;
  /** Version of the record that was measured. */
  readonly version: number;
  readonly measuredAt: number;
}

/**
 * Time in ms for which an estimate holds while its workflow has not changed;
 * the learned run times change slowly.
 */
const MAX_AGE_MS = 500;

/**
 * Creates the estimates of a term.
 *
 * In a backlog the same workflows are ordered in every placement pass, so an
 * estimate is kept until its workflow changes.
 *
 * @param runTimes learned run times
 */
export function createPathEstimates(runTimes: RunTimes): PathEstimates {
  const cache = new WeakMap<WorkflowRecord, CachedEstimate>();

  return {
    get(record, now) {
      const cached = cache.get(record);
      if (
        cached?.version === record.version &&
        now < cached.measuredAt + MAX_AGE_MS
      ) {
        return cached.estimate;
      }
      const estimate = measurePath(record, runTimes);
      cache.set(record, {estimate, version: record.version, measuredAt: now});
      return estimate;
    },
  };
}

function measurePath(record: WorkflowRecord, runTimes: RunTimes): PathEstimate {
  const {queue, steps} = record.workflow;
  const occurrence = getFirstUnfinishedOccurrence(record);
  const expect = (declaredMs: number) => runTimes.estimate(queue, declaredMs);
  const remainingSteps = steps.map((step, index) =>
    record.groups
      .get(`${occurrence}.${index}`)
      ?.every(({phase}) => phase === TaskPhase.Done)
      ? {...step, estimateMs: 0}
      : step,
  );
  return {
    occurrence,
    criticalPathMs: getCriticalPathMs(steps, expect),
    remainingMs: getCriticalPathMs(remainingSteps, expect),
  };
}
