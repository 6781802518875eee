/** Grows the wait between failed tries, with full jitter. */
export interface Backoff {
  /** Returns the next wait in ms. */
  next(): number;
  /** Starts again from the shortest wait. */
  reset(): void;
}

const BASE_MS = 100;
const MAX_MS = 5_000;

/**
 * Creates a backoff from 100 ms to 5 s.
 *
 * @param random source of jitter between 0 and 1
 * @returns the backoff
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
