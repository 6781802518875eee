/**
 * Predicts the processor use of pools from the rate at which work arrives;
 * times are monotonic, in ms.
 */
export interface DemandForecast {
  /** Records accepted work, in thousandths of a processor times ms. */
  observe(pool: string, work: number, now: number): void;
  /** Returns the predicted use of a pool, in thousandths of a processor. */
  predict(pool: string, now: number): number;
  /**
   * Returns the time in ms since the first work for a pool arrived; 0 if none
   * has.
   */
  getObservedMs(pool: string, now: number): number;
}

interface Arrival {
  readonly at: number;
  readonly work: number;
}

/**
 * Time window for arrivals in ms; about as long as moving a machine takes, so
 * that machines arrive by the time the work accumulates.
 */
const WINDOW_MS = 1_000;
/**
 * Minimum arrivals in the window for an estimate of the rate; fewer may be
 * random.
 */
const MIN_ARRIVALS = 3;
/**
 * Arrivals that determine the rate to within a third even in less than the full
 * window.
 */
const RELIABLE_ARRIVALS = 10;
/** Minimum window in ms; three reviews of the pools. */
const MIN_WINDOW_MS = 300;

/**
 * Creates a forecast without any arrivals.
 *
 * It serves queues whose load alternates between idle periods and bursts of
 * several times the mean. Work that arrives at a steady rate eventually uses
 * the rate times the work per arrival, but reaches that level only after one
 * run time. The arrival rate predicts it from the start of a burst.
 */
export function createDemandForecast(): DemandForecast {
  const arrivals = new Map<string, Arrival[]>();
  const firstAt = new Map<string, number>();

  return {
    observe(pool, work, now) {
      if (!firstAt.has(pool)) firstAt.set(pool, now);
      const list = arrivals.get(pool) ?? [];
      list.push({at: now, work});
      arrivals.set(pool, list);
    },
    predict(pool, now) {
      const recent = (arrivals.get(pool) ?? []).filter(
        ({at}) => now - at < WINDOW_MS,
      );
      if (arrivals.has(pool)) arrivals.set(pool, recent);
      if (recent.length < MIN_ARRIVALS) return 0;
      // Early in a burst the window only covers the time since its first
      // arrival.
      const windowMs =
        recent.length < RELIABLE_ARRIVALS
          ? WINDOW_MS
          : Math.max(MIN_WINDOW_MS, now - recent[0].at);
      return recent.reduce((sum, {work}) => sum + work, 0) / windowMs;
    },
    getObservedMs: (pool, now) => now - (firstAt.get(pool) ?? now),
  };
}
