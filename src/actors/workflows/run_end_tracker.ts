/**
 * Tracks which run ends reported by one host incarnation have been processed,
 * stored and acknowledged.
 */
export interface RunEndTracker {
  /** Accepts an end for processing; returns false for a duplicate. */
  accept(number: number): boolean;
  /** Records that the changes caused by an end are stored. */
  markStored(number: number): void;
  /**
   * Returns the highest end number to acknowledge: all accepted ends up to it
   * are stored. 0 if the host has confirmed all acknowledgements.
   */
  getUnacknowledged(): number;
  /** Records that the host has received an acknowledgement. */
  markAcknowledged(number: number): void;
  /** Returns the number of accepted ends that are not stored yet. */
  countUnstored(): number;
}

/**
 * Creates a tracker for one host incarnation. Ends may be reported in any
 * order.
 */
export function createRunEndTracker(): RunEndTracker {
  const accepted = new Set<number>();
  const stored = new Set<number>();
  let storedUpTo = 0;
  let acknowledged = 0;

  return {
    accept(number) {
      if (number <= storedUpTo || accepted.has(number)) return false;
      accepted.add(number);
      return true;
    },
    markStored(number) {
      stored.add(number);
      // The host discards acknowledged ends in numeric order, so the first end
      // it lists can have any number.
      let limit = Infinity;
      for (const end of accepted) {
        if (!stored.has(end)) limit = Math.min(limit, end);
      }
      for (const end of stored) {
        if (end < limit) storedUpTo = Math.max(storedUpTo, end);
      }
      for (const end of [...accepted]) {
        if (end > storedUpTo) continue;
        accepted.delete(end);
        stored.delete(end);
      }
    },
    getUnacknowledged: () => (storedUpTo > acknowledged ? storedUpTo : 0),
    markAcknowledged(number) {
      acknowledged = Math.max(acknowledged, number);
    },
    countUnstored: () => accepted.size,
  };
}
