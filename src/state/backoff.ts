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
 * Creates an exponential backoff whose limit doubles from 100 ms up to 5 s.
 *
 * Each delay is drawn from the upper half of the range up to the current limit.
 *
 * @param random returns a number from 0 to 1 for the jitter
 */
export function createBackoff(random: () => number = Math.random): Backoff {
  let tries = 0;
  return {
    next() {
      const ceiling = Math.min(MAX_MS, BASE_MS * 2 ** tries);
      tries += 1;
      return ceiling * (0.5 + random() / 2);
    },
    reset() {
      tries = 0;
    },
  };
}
