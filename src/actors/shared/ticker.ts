/** Calls a function at a fixed interval until it is disposed. */
export interface Ticker {
  dispose(): void;
}

/**
 * Starts a ticker, which calls its function immediately and then after each
 * interval.
 *
 * @param intervalMs time between calls in ms
 * @param tick the function to call
 */
export function createTicker(intervalMs: number, tick: () => void): Ticker {
  tick();
  const timer = setInterval(tick, intervalMs);
  return {dispose: () => clearInterval(timer)};
}
