/**
 * Starts to measure time.
 *
 * Uses both clocks, since the monotonic clock stops while a machine is
 * suspended and the wall clock may jump.
 *
 * @returns a function that returns the time in ms since the start, by the clock
 *     that shows more
 */
export function startStopwatch(): () => number {
  const startedAt = performance.now();
  const startedAtWallMs = Date.now();
  return () =>
    Math.max(performance.now() - startedAt, Date.now() - startedAtWallMs);
}
