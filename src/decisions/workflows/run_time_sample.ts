/**
 * Statistics of similar runs on a logarithmic scale, with decay. Each `refine`
 * method corrects an estimate from less specific runs; the weight of the sample
 * grows with its number of runs.
 */
export interface RunTimeSample {
  /**
   * Adds a run.
   *
   * @param declared logarithm of its declared run time in ms
   * @param actual logarithm of its run time in ms
   * @param predicted logarithm of the median that was expected
   */
  add(declared: number, actual: number, predicted: number): void;
  /**
   * Returns the logarithm of the median run time.
   *
   * @param declared logarithm of the declared run time in ms
   * @param base the estimate to correct
   */
  refineMedian(declared: number, base: number): number;
  /** Returns the standard deviation of the logarithm, without stragglers. */
  refineDeviation(base: number): number;
  /** Returns the ratio of the mean to the median, with stragglers. */
  refineMeanFactor(base: number): number;
}

/** Decay of the sums per run; about the last two hundred runs count. */
const DECAY = 0.995;
/** Weight of the less specific estimate, as a number of runs. */
const PRIOR_RUNS = 3;
/** Standard deviation assumed for unknown runs; a factor of 1.6. */
export const UNKNOWN_DEVIATION = 0.5;
/**
 * Logarithm of the ratio to the expected median from which a run is a
 * straggler, at least; a factor of 3. Stragglers count as if they had taken
 * this long, so that they hardly change the median, while a lasting change of
 * all runs is still learned.
 */
const MIN_STRAGGLER_RATIO = Math.log(3);
/** The same, in standard deviations. */
const STRAGGLER_DEVIATIONS = 2.5;
/** Maximum ratio of a run to the median that counts in the mean. */
const MAX_MEAN_RATIO = 20;
/** Keeps the weights of the two estimates finite. */
const MIN_VARIANCE = 1e-4;

/** Creates a sample without any runs. */
export function createRunTimeSample(): RunTimeSample {
  let runs = 0;
  let actuals = 0;
  let squaredActuals = 0;
  let ratios = 0;
  let squaredRatios = 0;
  let squaredErrors = 0;
  let meanRatios = 0;

  function blend(own: number, base: number): number {
    return (runs * own + PRIOR_RUNS * base) / (runs + PRIOR_RUNS);
  }

  function getVariance(sum: number, squares: number): number {
    const mean = sum / runs;
    return Math.max(0, squares / runs - mean * mean) + MIN_VARIANCE;
  }

  function refineDeviation(base: number): number {
    if (runs === 0) return base;
    return Math.sqrt(blend(squaredErrors / runs, base * base));
  }

  return {
    add(declared, actual, predicted) {
      const limit = Math.max(
        MIN_STRAGGLER_RATIO,
        STRAGGLER_DEVIATIONS * refineDeviation(UNKNOWN_DEVIATION),
      );
      const counted = Math.min(actual, predicted + limit);
      const ratio = counted - declared;
      const error = counted - predicted;
      const meanRatio = Math.min(MAX_MEAN_RATIO, Math.exp(actual - predicted));
      runs = runs * DECAY + 1;
      actuals = actuals * DECAY + counted;
      squaredActuals = squaredActuals * DECAY + counted * counted;
      ratios = ratios * DECAY + ratio;
      squaredRatios = squaredRatios * DECAY + ratio * ratio;
      squaredErrors = squaredErrors * DECAY + error * error;
      meanRatios = meanRatios * DECAY + meanRatio;
    },
    refineMedian(declared, base) {
      if (runs === 0) return base;
      // Declarations count as much as they narrow the spread of the runs.
      const actualVariance = getVariance(actuals, squaredActuals);
      const ratioVariance = getVariance(ratios, squaredRatios);
      const weight = actualVariance / (actualVariance + ratioVariance);
      const scaled = declared + ratios / runs;
      return blend(weight * scaled + (1 - weight) * (actuals / runs), base);
    },
    refineDeviation,
    refineMeanFactor: base =>
      runs === 0 ? base : blend(meanRatios / runs, base),
  };
}
