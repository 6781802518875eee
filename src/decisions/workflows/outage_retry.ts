/**
 * Minimum and maximum time in ms after which callers are asked to come back;
 * the maximum is a few latency objectives of short work.
 */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 4_000;

/**
 * Returns the time in ms after which to submit again while the store is
 * unavailable.
 *
 * Callers give up after a few attempts. An outage that has lasted for some time
 * usually lasts for about as long again, so the delay grows with it: four
 * attempts of one caller cover an outage of eleven seconds instead of four.
 *
 * @param outageMs time since the store last answered, in ms
 */
export function getOutageRetryMs(outageMs: number): number {
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, Math.ceil(outageMs)));
}
