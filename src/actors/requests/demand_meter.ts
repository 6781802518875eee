/** Measures the number of concurrently running and waiting requests over time. */
export interface DemandMeter {
  /** Sets the current numbers of running and waiting requests. */
  set(running: number, waiting: number): void;
  /** Returns the demand since the previous call and starts a new period. */
  take(): Demand;
}

/** Demand over one measurement period. */
export interface Demand {
  /** Maximum number of requests running or waiting at the same time. */
  readonly peak: number;
  /** Time-weighted mean number of running requests. */
  readonly meanRunning: number;
}

/** Creates a meter that starts with no running or waiting requests. */
export function createDemandMeter(): DemandMeter {
  let level = 0;
  let total = 0;
  let peak = 0;
  let area = 0;
  let changedAt = performance.now();
  let startedAt = changedAt;

  function advance(): number {
    const now = performance.now();
    area += level * (now - changedAt);
    changedAt = now;
    return now;
  }

  return {
    set(running, waiting) {
      advance();
      level = running;
      total = running + waiting;
      peak = Math.max(peak, total);
    },
    take() {
      const now = advance();
      const meanRunning = now > startedAt ? area / (now - startedAt) : level;
      const demand = {peak, meanRunning};
      startedAt = now;
      area = 0;
      peak = total;
      return demand;
    },
  };
}
