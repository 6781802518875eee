import {Step} from '../../types/workflow';

/** The parts of a step that its run time depends on. */
export type TimedStep = Pick<Step, 'image' | 'estimateMs'>;

/** Estimates actual run times from declared ones, per queue. */
export interface RunTimes {
  /** Records the run time of a successful run. */
  observe(queue: string, step: TimedStep, actualMs: number): void;
  /** Returns the expected run time of a step's tasks, in ms. */
  estimate(queue: string, step: TimedStep): number;
}

/** Decay of the sums per recorded run; about the last hundred runs count. */
const DECAY = 0.99;
/** Weight of the declared run time, as a number of recorded runs. */
const PRIOR_RUNS = 3;

/**
 * Creates an estimator without any recorded runs.
 *
 * Single declarations may be far off, so they are corrected by the ratio of
 * actual to declared run times in the queue and blended with its mean.
 */
export function createRunTimes(): RunTimes {
  const sums = new Map<
    string,
    {declared: number; actual: number; runs: number}
  >();

  return {
    observe(queue, {estimateMs: declaredMs}, actualMs) {
      const sum = sums.get(queue) ?? {declared: 0, actual: 0, runs: 0};
      sums.set(queue, {
        declared: sum.declared * DECAY + declaredMs,
        actual: sum.actual * DECAY + actualMs,
        runs: sum.runs * DECAY + 1,
      });
    },
    estimate(queue, {estimateMs: declaredMs}) {
      const sum = sums.get(queue);
      if (!sum || declaredMs === 0) return declaredMs;
      const meanActual = sum.actual / sum.runs;
      const meanDeclared = sum.declared / sum.runs;
      const confidence = sum.runs / (sum.runs + PRIOR_RUNS);
      // The average of the queue's mean and the scaled declaration.
      const scaled = (declaredMs * meanActual) / Math.max(1, meanDeclared);
      return (
        confidence * ((meanActual + scaled) / 2) + (1 - confidence) * declaredMs
      );
    },
  };
}
