/** Tells from what came in lately how much of its machines a pool will need. */
export interface DemandForecast {
  /** Takes note of accepted work, in thousandths of a processor times ms. */
  observe(pool: string, work: number, now: number): void;
  /** Returns the expected use of a pool, in thousandths of a processor. */
  expect(pool: string, now: number): number;
  /** Returns the time in ms since a pool's first work was seen; 0 before. */
  getKnownMs(pool: string, now: number): number;
}

interface Arrival {
  readonly at: number;
  readonly work: number;
}

/** Time in ms over which arrivals are counted: a move's, so that machines are there when work piles up. */
const WINDOW_MS = 1_000;
/** Least arrivals in the window that tell a rate: fewer may be chance. */
const LEAST_ARRIVALS = 3;
/** Arrivals that tell a rate, within a third, in less than the window. */
const CLEAR_ARRIVALS = 10;
/** Shortest time in ms over which arrivals are counted: three reviews of the pools. */
const LEAST_WINDOW_MS = 300;

/**
 * Answers queues that ask in turns for several times their mean: work that comes
 * in at a steady rate keeps rate times work in use, but a turn's first work
 * takes its run time to pile up to that; the rate tells it at once.
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
    expect(pool, now) {
      const recent = (arrivals.get(pool) ?? []).filter(
        ({at}) => now - at < WINDOW_MS,
      );
      if (arrivals.has(pool)) arrivals.set(pool, recent);
      if (recent.length < LEAST_ARRIVALS) return 0;
      // At a turn's start the window is as long as the turn so far.
      const lasted =
        recent.length < CLEAR_ARRIVALS
          ? WINDOW_MS
          : Math.max(LEAST_WINDOW_MS, now - recent[0].at);
      return recent.reduce((sum, {work}) => sum + work, 0) / lasted;
    },
    getKnownMs: (pool, now) => now - (firstAt.get(pool) ?? now),
  };
}
