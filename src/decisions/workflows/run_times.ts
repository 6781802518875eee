import {Step} from '../../types/workflow';
import {
  RunTimeSample,
  UNKNOWN_DEVIATION,
  createRunTimeSample,
} from './run_time_sample';

/** The parts of a step that its run time depends on. */
export type TimedStep = Pick<Step, 'image' | 'estimateMs'>;

/** Estimates actual run times from declared ones, per queue and image. */
export interface RunTimes {
  /** Records the run time of a successful run of the whole task. */
  observe(queue: string, step: TimedStep, actualMs: number): void;
  /**
   * Returns the mean run time to expect of a step's tasks, in ms; 0 if the step
   * declares none, as for the other estimates.
   */
  estimate(queue: string, step: TimedStep): number;
  /**
   * Returns the median run time to expect, in ms; unlike the mean, it is not
   * raised by a few stragglers.
   */
  estimateMedian(queue: string, step: TimedStep): number;
  /**
   * Returns the run time in ms that a run seldom exceeds unless it is a
   * straggler or its host is slow.
   */
  estimateLong(queue: string, step: TimedStep): number;
}

interface QueueSamples {
  readonly all: RunTimeSample;
  /** By image, least recently observed first. */
  readonly images: Map<string, RunTimeSample>;
}

/** Maximum number of queues, and of images of one queue, that are kept. */
const MAX_QUEUES = 256;
const MAX_IMAGES = 128;
/** Standard deviations between the median and the long run time. */
const LONG_DEVIATIONS = 2;

/**
 * Creates an estimator without any recorded runs.
 *
 * It answers a load whose declarations are rough, whose tasks behave alike if
 * they share an image, and of which a few percent run many times longer than
 * their like. The runs of an image correct the estimate of its queue, and those
 * of the queue correct the declaration, each by a weight that grows with the
 * number of recorded runs.
 */
export function createRunTimes(): RunTimes {
  const queues = new Map<string, QueueSamples>();

  function listSamples(
    queue: string,
    image: string,
  ): readonly (RunTimeSample | undefined)[] {
    const samples = queues.get(queue);
    return samples ? [samples.all, samples.images.get(image)] : [];
  }

  /** Returns the logarithm of the median, refined by each known sample. */
  function predict(queue: string, {image, estimateMs}: TimedStep): number {
    const declared = Math.log(Math.max(1, estimateMs));
    return listSamples(queue, image).reduce(
      (base, sample) => sample?.refineMedian(declared, base) ?? base,
      declared,
    );
  }

  function predictDeviation(queue: string, {image}: TimedStep): number {
    return listSamples(queue, image).reduce(
      (base, sample) => sample?.refineDeviation(base) ?? base,
      UNKNOWN_DEVIATION,
    );
  }

  return {
    observe(queue, step, actualMs) {
      const declared = Math.log(Math.max(1, step.estimateMs));
      const actual = Math.log(Math.max(1, actualMs));
      const samples = touch(
        queues,
        queue,
        () => ({all: createRunTimeSample(), images: new Map()}),
        MAX_QUEUES,
      );
      const base = predict(queue, step);
      samples.all.add(
        declared,
        actual,
        samples.all.refineMedian(declared, declared),
      );
      if (step.image === '') return;
      const sample = touch(
        samples.images,
        step.image,
        createRunTimeSample,
        MAX_IMAGES,
      );
      sample.add(declared, actual, base);
    },
    estimate(queue, step) {
      if (step.estimateMs === 0) return 0;
      const factor = listSamples(queue, step.image).reduce(
        (base, sample) => sample?.refineMeanFactor(base) ?? base,
        1,
      );
      return Math.exp(predict(queue, step)) * factor;
    },
    estimateMedian(queue, step) {
      return step.estimateMs === 0 ? 0 : Math.exp(predict(queue, step));
    },
    estimateLong(queue, step) {
      if (step.estimateMs === 0) return 0;
      const deviation = predictDeviation(queue, step);
      return Math.exp(predict(queue, step) + LONG_DEVIATIONS * deviation);
    },
  };
}

/** Moves a key to the end of a bounded map, and adds it if it is missing. */
function touch<T>(
  map: Map<string, T>,
  key: string,
  create: () => T,
  limit: number,
): T {
  const value = map.get(key) ?? create();
  map.delete(key);
  map.set(key, value);
  if (map.size > limit) {
    const [oldest] = map.keys();
    map.delete(oldest);
  }
  return value;
}
