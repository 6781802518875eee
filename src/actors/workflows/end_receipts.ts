/** Keeps which ends of a host's life have been processed and stored. */
export interface RunEndTracker {
  /** Takes an end; false if it was taken before. */
  accept(number: number): boolean;
  /** The end's consequences are stored. */
  markStored(number: number): void;
  /** Returns the number up to which all ends are stored. */
  getStoredThrough(): number;
  /** True while ends were taken whose consequences aren't stored. */
  hasUnstored(): boolean;
  /** Starts anew, as the host's life has ended. */
  reset(): void;
}

/** Creates the receipts of a host's life; ends may come in any order. */
export function createRunEndTracker(): RunEndTracker {
  let accepted = new Set<number>();
  let stored = new Set<number>();
  let storedThrough = 0;

  return {
    accept(number) {
      if (number <= storedThrough || accepted.has(number)) return false;
      accepted.add(number);
      return true;
    },
    markStored(number) {
      stored.add(number);
      // The host forgets ends in order, so what it lists first may be any number.
      const pending = [...accepted].filter(end => !stored.has(end));
      const limit = pending.length > 0 ? Math.min(...pending) : Infinity;
      for (const end of stored) {
        if (end < limit) storedThrough = Math.max(storedThrough, end);
      }
      for (const end of [...accepted]) {
        if (end > storedThrough) continue;
        accepted.delete(end);
        stored.delete(end);
      }
    },
    getStoredThrough: () => storedThrough,
    hasUnstored: () => accepted.size > 0,
    reset() {
      accepted = new Set();
      stored = new Set();
      storedThrough = 0;
    },
  };
}
