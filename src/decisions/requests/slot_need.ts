/** Time in ms within which the requested slots should clear the queue. */
const CLEAR_QUEUE_MS = 300;

/**
 * Returns the number of slots that an entry host needs for its current demand.
 *
 * One slot per waiting request would be too many for short runs: the slots
 * would be idle again before the next report.
 *
 * @param meanRunning recent average number of running requests
 * @param waiting number of waiting requests
 * @param runMs mean duration of a run, in ms; 0 if none has ended
 */
export function findSlotNeed(
  meanRunning: number,
  waiting: number,
  runMs: number,
): number {
  const slotsPerRequest = runMs > 0 ? Math.min(1, runMs / CLEAR_QUEUE_MS) : 1;
  return meanRunning + waiting * slotsPerRequest;
}
