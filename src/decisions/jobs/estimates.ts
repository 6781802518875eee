import {Histogram, build} from 'hdr-histogram-js';
import {AttemptEnd, Job, JobSize} from '../../types';

/** What a job is expected to take. */
export interface Estimate {
  readonly runTimeMs: number;
  readonly size: JobSize;
}

/** Learned ratios of measured to declared sizes and run times. */
export interface Estimates {
  /** Learns from a finished job; the same job teaches once. */
  learn(job: Job): void;
  estimate(job: Job): Estimate;
  /** Forgets that a deleted job has taught; what it taught stays. */
  forget(jobId: string): void;
}

interface Ratios {
  readonly runTime: Histogram;
  readonly processors: Histogram;
  readonly memory: Histogram;
}

/** Share of jobs that are expected to stay within the estimate, in percent. */
const SAFETY_PERCENTILE = 80;
const MIN_SAMPLES = 3;
const SCALE = 100;
const MAX_RATIO = 1_000_000;

/** Creates estimates that know nothing and trust what is declared. */
export function createEstimates(): Estimates {
  const known = new Map<string, Ratios>();
  const learned = new Set<string>();

  function ratiosOf(job: Job): Ratios {
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
    learn(job) {
      if (learned.has(job.id)) return;
      learned.add(job.id);
      const ratios = ratiosOf(job);
      addRatio(ratios.runTime, measureRunTime(job), job.runTimeMs);
      const {usage, size} = job;
      if (!usage) return;
      addRatio(ratios.processors, usage.processors, size.processors);
      addRatio(ratios.memory, usage.memoryMb, size.memoryMb);
    },
    forget: jobId => void learned.delete(jobId),
    estimate(job) {
      const ratios = ratiosOf(job);
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
 * Returns the time that a job's attempts ran for, without those that were lost.
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
