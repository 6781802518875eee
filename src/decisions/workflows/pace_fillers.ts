/**
 * Throttling state of the filler tasks on a host, which only use processor time
 * that other tasks leave idle.
 */
export interface FillerPace {
  /** Pace at which the fillers may work, in percent. */
  readonly percent: number;
  /**
   * Highest pace, in percent, that has not pushed serving tasks close to or
   * over their target.
   */
  readonly ceiling: number;
}

/** Pace of fillers on a host without measurements. */
export const FULL_PACE: FillerPace = {percent: 100, ceiling: 100};

/**
 * Fraction of the target above which fillers slow down, so that they do before
 * it is exceeded.
 */
const SLOW_DOWN_RATIO = 0.85;
/** Fraction of the target below which fillers may speed up. */
const SPEED_UP_RATIO = 0.65;
/** Minimum pace in percent; fillers stop below it. */
const MIN_PERCENT = 10;
/** Increase of the pace per adjustment, in percent. */
const STEP_PERCENT = 8;
/**
 * Fraction of a pace that exceeded the target to which the ceiling is lowered.
 */
const SAFE_FRACTION = 0.75;
/**
 * Increase of the ceiling per adjustment, in percent; it recovers because
 * interference changes within seconds.
 */
const CEILING_STEP_PERCENT = 1;

/**
 * Adjusts the pace of filler tasks to the tail latencies of the serving tasks
 * on the same host.
 *
 * The interference between them changes within seconds. Fillers stop
 * immediately when a tail latency reaches its target, slow down shortly before,
 * and speed up again to a ceiling below the pace at which that last happened.
 *
 * @param pace the host's current pace
 * @param worstTailRatio largest ratio of a serving task's tail latency to its
 *     target; 0 without serving tasks
 */
export function paceFillers(
  pace: FillerPace,
  worstTailRatio: number,
): FillerPace {
  const {percent, ceiling} = pace;
  if (worstTailRatio >= 1) {
    return {percent: 0, ceiling: Math.min(ceiling, percent * SAFE_FRACTION)};
  }
  if (worstTailRatio > SLOW_DOWN_RATIO) {
    const slower = percent / 2;
    return {
      percent: slower < MIN_PERCENT ? 0 : slower,
      ceiling: Math.min(ceiling, percent),
    };
  }
  const higher = Math.min(100, ceiling + CEILING_STEP_PERCENT);
  if (worstTailRatio > SPEED_UP_RATIO) return {percent, ceiling: higher};
  const faster = Math.min(higher, percent + STEP_PERCENT);
  return {percent: Math.max(percent, faster), ceiling: higher};
}
