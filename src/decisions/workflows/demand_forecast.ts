/** Tells from what came in lately how much of its machines a pool will need. */
export interface DemandForecast {
  /** Takes note of accepted work, in thousandths of a processor times ms. */
  observe(pool: string, work: number, now: number): void;
  /** Returns the expected use of a pool, in thousandths of a processor. */
  expect(pool: string, now: number): number;
  /** Tells whether any work of a pool was seen. */
  knows(pool: string): boolean;
}

interface Arrival {
  readonly at: number;
  readonly work: number;
}

/** Time in ms over which arrivals are counted: a move's, so that machines are there when work piles up. */
const WINDOW_MS = 1_000;
/** Least arrivals in the window that tell a rate: fewer may be chance. */
const LEAST_ARRIVALS = 3;

/**
 * Answers queues that ask in turns for several times their mean: work that comes
 * in at a steady rate keeps rate times work in use, but a turn's first work
 * takes its run time to pile up to that; the rate tells it at once.
 */
export function createDemandForecast(): DemandForecast {
  const arrivals = new Map<string, Arrival[]>();

  return {
    observe(pool, work, now) {
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
      const lasted = Math.max(WINDOW_MS / 2, now - recent[0].at);
      return recent.reduce((sum, {work}) => sum + work, 0) / lasted;
    },
    knows: pool => arrivals.has(pool),
  };
}
