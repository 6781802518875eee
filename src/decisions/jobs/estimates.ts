import {Histogram, build} from 'hdr-histogram-js';
import {AttemptEnd, Job, JobSize} from '../../types';

/** Expected run time and resource use of a job. */
export interface Estimate {
  readonly runTimeMs: number;
  readonly size: JobSize;
}

/** Estimates from ratios of measured to declared sizes and run times. */
export interface Estimates {
  /**
   * Records the measurements of a finished job; calls for a job recorded before
   * are ignored.
   */
  record(job: Job): void;
  /** Returns the expected run time and size of a job. */
  estimate(job: Job): Estimate;
  /**
   * Removes a deleted job from the set of recorded jobs; its measurements are
   * kept.
   */
  forget(jobId: string): void;
}

interface Ratios {
  readonly runTime: Histogram;
  readonly processors: Histogram;
  readonly memory: Histogram;
}

/** Percentage of jobs that are expected to stay within their estimate. */
const SAFETY_PERCENTILE = 80;
/** Minimum number of measurements; with fewer, the declared values are used. */
const MIN_SAMPLES = 3;
/** Factor by which ratios are scaled for histograms, which hold integers. */
const SCALE = 100;
/** Maximum scaled ratio that is recorded. */
const MAX_RATIO = 1_000_000;

/** Creates estimates without measurements, which return the declared values. */
export function createEstimates(): Estimates {
  const known = new Map<string, Ratios>();
  const recordedIds = new Set<string>();

  function getRatios(job: Job): Ratios {
    const key = `${job.service}/${job.team}`;
    const found = known.get(key);
    if (found) return found;
    const created = {
      runTime: createHistogram(),
      processors: createHistogram(),
      memory: createHistogram(),
    };
    known.set(key, created);
    return created;
  }

  return {
    record(job) {
      if (recordedIds.has(job.id)) return;
      recordedIds.add(job.id);
      const ratios = getRatios(job);
      addRatio(ratios.runTime, measureRunTime(job), job.runTimeMs);
      const {usage, size} = job;
      if (!usage) return;
      addRatio(ratios.processors, usage.processors, size.processors);
      addRatio(ratios.memory, usage.memoryMb, size.memoryMb);
    },
    forget: jobId => void recordedIds.delete(jobId),
    estimate(job) {
      const ratios = getRatios(job);
      const {size} = job;
      return {
        runTimeMs: job.runTimeMs * readRatio(ratios.runTime),
        size: {
          ...size,
          processors: size.processors * readRatio(ratios.processors),
          memoryMb: size.memoryMb * readRatio(ratios.memory),
        },
      };
    },
  };
}

/**
 * Returns the total run time of a job's completed and checkpointed attempts, in
 * ms.
 *
 * @param job a finished job
 */
export function measureRunTime(job: Job): number {
  let total = 0;
  for (const {end, endedAt, startedAt} of job.attempts) {
    if (end !== AttemptEnd.Done && end !== AttemptEnd.Checkpointed) continue;
    total += (endedAt ?? startedAt) - startedAt;
  }
  return total;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: 2,
  });
}

function addRatio(
  histogram: Histogram,
  measured: number,
  declared: number,
): void {
  if (declared <= 0 || measured <= 0) return;
  const ratio = Math.ceil((measured / declared) * SCALE);
  histogram.recordValue(Math.min(MAX_RATIO, ratio));
}

function readRatio(histogram: Histogram): number {
  if (histogram.totalCount < MIN_SAMPLES) return 1;
  return histogram.getValueAtPercentile(SAFETY_PERCENTILE) / SCALE;
}
