/** Calls a function at a steady pace on the runtime's clock. */
export interface Ticker {
  dispose(): void;
}

/**
 * Starts a ticker.
 *
 * @param intervalMs time between calls
 * @param tick called at once and then after each interval
 */
export function createTicker(intervalMs: number, tick: () => void): Ticker {
  tick();
  const timer = setInterval(tick, intervalMs);
  return {dispose: () => clearInterval(timer)};
}
