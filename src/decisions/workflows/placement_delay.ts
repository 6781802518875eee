/**
 * Minimum delay in ms between two placement passes, in which updates are
 * batched; short compared with a run.
 */
const MIN_DELAY_MS = 4;
/**
 * Maximum share of the processor time for placement passes; the rest sends
 * orders and reads reports.
 */
const MAX_SHARE = 0.2;

/**
 * Returns the delay before the next placement pass, in ms.
 *
 * In a backlog a pass takes longer and there are more updates that ask for one,
 * so without a bound the passes would take all processor time.
 *
 * @param lastPassMs duration of the last pass, in ms
 */
export function getPlacementDelayMs(lastPassMs: number): number {
  return Math.max(MIN_DELAY_MS, lastPassMs / MAX_SHARE - lastPassMs);
}
