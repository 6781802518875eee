/** Destination of log lines. */
export interface LineTarget {
  write(text: string): void;
  /**
   * Returns the number of characters that have been written but not yet
   * consumed.
   */
  getBufferedLength(): number;
}

/**
 * Maximum number of characters that may be buffered; about ten seconds of a
 * busy leader's output.
 */
const MAX_BUFFERED_CHARS = 262_144;
/**
 * Rate limit in characters per second, except for exempt lines; four times the
 * rate of a busy leader.
 */
const MAX_CHARS_PER_SECOND = 65_536;
const SECOND_MS = 1_000;
/**
 * Matches warnings, errors, negative outcomes and the few lines on the load of
 * the pools and the availability of services, which are exempt from the rate
 * limit.
 */
const RATE_LIMIT_EXEMPT =
  /"logLevel":[4-6]0|"outcome":"(refused|unavailable|unknown)"|"message":"(pool|availability)"/;

/**
 * Creates a function that writes log lines and never blocks on a slow consumer.
 *
 * Lines that exceed the rate limit or do not fit the buffer are dropped. Lines
 * that are exempt from the rate limit are dropped only if the buffer is full.
 * The number of dropped lines is written before the next line.
 *
 * @param target destination of the lines
 */
export function createLineWriter(target: LineTarget): (line: string) => void {
  let dropped = 0;
  let remaining = MAX_CHARS_PER_SECOND;
  let refilledAt = performance.now();

  function admit(line: string): boolean {
    if (target.getBufferedLength() + line.length > MAX_BUFFERED_CHARS)
      return false;
    const now = performance.now();
    const refill = ((now - refilledAt) * MAX_CHARS_PER_SECOND) / SECOND_MS;
    remaining = Math.min(MAX_CHARS_PER_SECOND, remaining + refill);
    refilledAt = now;
    if (remaining < line.length && !RATE_LIMIT_EXEMPT.test(line)) return false;
    remaining = Math.max(0, remaining - line.length);
    return true;
  }

  return line => {
    if (!admit(line)) {
      dropped += 1;
      return;
    }
    if (dropped > 0) {
      target.write(`{"message":"log lines dropped","count":${dropped}}\n`);
      dropped = 0;
    }
    target.write(`${line}\n`);
  };
}
