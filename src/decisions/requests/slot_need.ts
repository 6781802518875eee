/** Time within which the slots that are asked for should clear the queue. */
const CLEAR_MS = 300;

/**
 * Finds the slots that keep up with an entry host's demand.
 *
 * Counting each waiting request as a slot overshoots when runs are short: the
 * slots would be idle again before the next report.
 *
 * @param meanRunning requests that ran at once of late, on average
 * @param waiting requests that wait now
 * @param runMs mean time of a run; 0 if none has ended
 */
export function findSlotNeed(
  meanRunning: number,
  waiting: number,
  runMs: number,
): number {
  const slotsPerRequest = runMs > 0 ? Math.min(1, runMs / CLEAR_MS) : 1;
  return meanRunning + waiting * slotsPerRequest;
}
