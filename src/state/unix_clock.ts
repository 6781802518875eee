/** Tells the Unix time of this process. */
export interface UnixClock {
  /** Returns the current Unix time in ms. */
  now(): number;
}

/** A step of the system's wall clock. */
export interface ClockStep {
  /** Size in ms; negative if the clock was set back. */
  readonly stepMs: number;
}

/**
 * Difference in ms between the two clocks that counts as a step of the wall
 * clock; larger than the drift and the corrections of a synchronised clock.
 */
const MIN_STEP_MS = 500;
/**
 * Time in ms for which a step must last before it is followed, as a wrong time
 * is usually corrected within that time.
 */
const FOLLOW_AFTER_MS = 60_000;

/**
 * Creates a clock that follows the wall clock but ignores its steps at first.
 *
 * It runs at the rate of the monotonic clock. A step of the wall clock, forward
 * or back, is followed only after it has lasted for a while, so a short one
 * neither starts work early nor ends a retention period.
 *
 * @param onStep called once for each step of the wall clock
 */
export function createUnixClock(
  onStep: (step: ClockStep) => void = () => {},
): UnixClock {
  /** Unix time in ms at which the monotonic clock was 0. */
  let origin = measureOrigin();
  /** Origin of the wall clock when it was last read. */
  let lastOrigin = origin;
  /** Monotonic time in ms of the last step of the wall clock. */
  let steppedAt = 0;

  function update(): void {
    const measured = measureOrigin();
    const now = performance.now();
    const stepMs = measured - lastOrigin;
    lastOrigin = measured;
    if (Math.abs(stepMs) >= MIN_STEP_MS) {
      steppedAt = now;
      onStep({stepMs: Math.round(stepMs)});
    }
    const isClose = Math.abs(measured - origin) < MIN_STEP_MS;
    if (isClose || now >= steppedAt + FOLLOW_AFTER_MS) origin = measured;
  }

  return {
    now() {
      update();
      return Math.round(origin + performance.now());
    },
  };
}

function measureOrigin(): number {
  return Date.now() - performance.now();
}
