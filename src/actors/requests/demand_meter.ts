/**
 * Measures the number of concurrently running and waiting requests over time.
 */
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
  let currentRunning = 0;
  let currentTotal = 0;
  let peak = 0;
  let runningTimeMs = 0;
  let changedAt = performance.now();
  let startedAt = changedAt;

  function advance(): number {
    const now = performance.now();
    runningTimeMs += currentRunning * (now - changedAt);
    changedAt = now;
    return now;
  }

  return {
    set(running, waiting) {
      advance();
      currentRunning = running;
      currentTotal = running + waiting;
      peak = Math.max(peak, currentTotal);
    },
    take() {
      const now = advance();
      const meanRunning =
        now > startedAt ? runningTimeMs / (now - startedAt) : currentRunning;
      const demand = {peak, meanRunning};
      startedAt = now;
      runningTimeMs = 0;
      peak = currentTotal;
      return demand;
    },
  };
}
