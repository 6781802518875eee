/** Bounds the number of log lines of one kind. */
export interface LineLimit {
  /**
   * Returns the number of lines that were left out before this one; undefined
   * if this one must be left out.
   */
  admit(): number | undefined;
}

/**
 * Creates the limit of one kind of lines.
 *
 * @param maxLines maximum number of lines in a period
 * @param periodMs length of a period in ms
 */
export function createLineLimit(maxLines: number, periodMs: number): LineLimit {
  let periodStart = -Infinity;
  let lines = 0;
  let omitted = 0;

  return {
    admit() {
      const now = performance.now();
      if (now - periodStart >= periodMs) {
        periodStart = now;
        lines = 0;
      }
      if (lines >= maxLines) {
        omitted += 1;
        return undefined;
      }
      lines += 1;
      const before = omitted;
      omitted = 0;
      return before;
    },
  };
}
