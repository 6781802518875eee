/** Computes increasing delays with jitter between failed attempts. */
export interface Backoff {
  /** Returns the next delay in ms. */
  next(): number;
  /** Resets the delay to its minimum. */
  reset(): void;
}

const BASE_MS = 100;
const MAX_MS = 5_000;

/**
 * Creates an exponential backoff whose limit doubles.
 *
 * Each delay is drawn from the upper half of the range up to the current limit.
 *
 * @param random returns a number from 0 to 1 for the jitter
 * @param baseMs first limit in ms
 * @param maxMs maximum limit in ms
 */
export function createBackoff(
  random: () => number = Math.random,
  baseMs = BASE_MS,
  maxMs = MAX_MS,
): Backoff {
  let tries = 0;
  return {
    next() {
      const ceiling = Math.min(maxMs, baseMs * 2 ** tries);
      tries += 1;
      return ceiling * (0.5 + random() / 2);
    },
    reset() {
      tries = 0;
    },
  };
}
