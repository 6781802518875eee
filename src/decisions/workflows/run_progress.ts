import {Placement} from './placement';

/** Progress in percent from which it tells the length of a run. */
const MIN_PERCENT = 10;

/**
 * Returns the time in ms that a run will take in all at its speed so far;
 * undefined as long as that is unknown.
 *
 * @param usualMs usual run time in ms; a run without progress takes at least as
 *     long as it has been running, which counts once it exceeds the usual time
 */
export function projectRunMs(
  {isWhole, listed, confirmedAt, seenAt, percent}: Placement,
  usualMs: number,
): number | undefined {
  if (!isWhole || !listed) return undefined;
  const elapsedMs = seenAt - confirmedAt;
  if (percent >= MIN_PERCENT) return (elapsedMs / percent) * 100;
  return elapsedMs > usualMs ? elapsedMs : undefined;
}

/**
 * Returns the time in ms that a checkpointed run gains if it continues on a
 * host of usual speed; negative if it loses.
 *
 * @param slowness multiple of the usual run time that its host takes
 * @param moveMs time to stop it and to restore its checkpoint, in ms
 */
export function getMoveGainMs(
  placement: Placement,
  usualMs: number,
  slowness: number,
  moveMs: number,
): number {
  const runMs = projectRunMs(placement, usualMs);
  if (runMs === undefined) return -Infinity;
  const leftMs = runMs - (placement.seenAt - placement.confirmedAt);
  return leftMs - leftMs / slowness - moveMs;
}
