import {TaskEnd} from '../../types/workflow';
import {getRunKey} from './run_key';

/**
 * Tracks which run ends reported by one host incarnation have been processed,
 * stored and acknowledged.
 */
export interface RunEndTracker {
  /**
   * Returns whether the incarnation can have listed an end: it lists none again
   * that it knows to be acknowledged, and gives each number to one end.
   *
   * @param seenEnd highest end number that the call has acknowledged
   */
  canList(end: TaskEnd, seenEnd: number): boolean;
  /** Accepts an end for processing; returns false for a duplicate. */
  accept(end: TaskEnd): boolean;
  /** Records that the changes caused by an end are stored. */
  markStored(number: number): void;
  /**
   * Returns the highest end number to acknowledge: all accepted ends up to it
   * are stored. 0 if the host has confirmed all acknowledgements.
   */
  getUnacknowledged(): number;
  /** Records that the host has received an acknowledgement. */
  markAcknowledged(number: number): void;
  /** Returns the highest number of an accepted end; 0 before the first. */
  getHighestAccepted(): number;
  /**
   * Returns the highest end number whose acknowledgement the host has received;
   * 0 before the first.
   */
  getAcknowledged(): number;
  /** Returns the number of accepted ends that are not stored yet. */
  countUnstored(): number;
}

/**
 * Creates a tracker for one host incarnation. Ends may be reported in any
 * order.
 */
export function createRunEndTracker(): RunEndTracker {
  /** Run of each listed end that is not acknowledged yet, by its number. */
  const listed = new Map<number, string>();
  const accepted = new Set<number>();
  const stored = new Set<number>();
  let highestAccepted = 0;
  let storedUpTo = 0;
  let acknowledged = 0;

  return {
    canList({number, task, run}, seenEnd) {
      if (number <= Math.max(seenEnd, acknowledged)) return false;
      const key = getRunKey(task, run);
      return (listed.get(number) ?? key) === key;
    },
    accept({number, task, run}) {
      if (number <= storedUpTo || accepted.has(number)) return false;
      listed.set(number, getRunKey(task, run));
      accepted.add(number);
      highestAccepted = Math.max(highestAccepted, number);
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
      if (number <= acknowledged) return;
      acknowledged = number;
      for (const each of [...listed.keys()]) {
        if (each <= acknowledged) listed.delete(each);
      }
    },
    getHighestAccepted: () => highestAccepted,
    getAcknowledged: () => acknowledged,
    countUnstored: () => accepted.size,
  };
}
