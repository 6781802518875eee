/** Measures how many requests run and wait at once. */
export interface DemandMeter {
  /** Records the numbers from now on. */
  set(running: number, waiting: number): void;
  /** Returns the demand since the last call and starts the next period. */
  take(): Demand;
}

/** Demand over a period. */
export interface Demand {
  /** Most requests that ran or waited at once. */
  readonly peak: number;
  /** Requests that ran at once, on average. */
  readonly meanRunning: number;
}

/** Creates a meter at zero. */
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
