/** Where log lines go. */
export interface LineTarget {
  write(text: string): void;
  /** Characters that were written and not taken yet. */
  getWaiting(): number;
}

/** Characters of lines that may wait for a reader: about ten seconds of a busy leader. */
const MAX_BUFFERED_CHARS = 262_144;
/** Characters a second for lines that are neither warnings nor refusals: four times what a busy leader writes. */
const MAX_CHARS_PER_SECOND = 65_536;
const SECOND_MS = 1_000;
/** Lines that go last when there is no room. */
const IMPORTANT = /"logLevel":[4-6]0|"outcome":"(refused|unavailable|unknown)"/;

/**
 * Creates a writer of log lines that never waits for a reader.
 *
 * Lines above the budget or without room are dropped, warnings and refusals
 * last, and their count is written with the next line.
 *
 * @param target where the lines go
 */
export function createLineWriter(target: LineTarget): (line: string) => void {
  let dropped = 0;
  let remaining = MAX_CHARS_PER_SECOND;
  let refilledAt = performance.now();

  function admit(line: string): boolean {
    if (target.getWaiting() + line.length > MAX_BUFFERED_CHARS) return false;
    const now = performance.now();
    const refill = ((now - refilledAt) * MAX_CHARS_PER_SECOND) / SECOND_MS;
    remaining = Math.min(MAX_CHARS_PER_SECOND, remaining + refill);
    refilledAt = now;
    if (remaining < line.length && !IMPORTANT.test(line)) return false;
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
