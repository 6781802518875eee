/** Tells from successive lists which entries have left. */
export interface AbsenceTracker {
  /**
   * Records a whole list.
   *
   * @param ids ids of its entries
   * @param beganAt monotonic time in ms at which it was requested
   */
  record(ids: Iterable<string>, beganAt: number): void;
  /**
   * Returns whether an entry has left: all lists requested after the given time
   * lack it, the first and the last of them at least the confirmation time
   * apart.
   *
   * @param since monotonic time in ms at which it still existed, or may have
   *     come into existence
   */
  hasLeft(id: string, since: number): boolean;
  /** Monotonic time in ms at which the last list was requested. */
  getLastBeganAt(): number;
}

/**
 * Creates a tracker without lists.
 *
 * A single list proves nothing: it may be older than the entry, and its pages
 * may have been read before and after a change that moved the entry between
 * them.
 *
 * @param confirmationMs minimum time in ms for which lists must lack an entry
 */
export function createAbsenceTracker(confirmationMs: number): AbsenceTracker {
  /** Times of the recent lists, the first at least the confirmation time ago. */
  const listTimes: number[] = [];
  /** Time of the last list that has an entry, by its id. */
  const lastListed = new Map<string, number>();

  function prune(now: number): void {
    while (listTimes.length > 1 && listTimes[1] <= now - confirmationMs) {
      listTimes.shift();
    }
    for (const [id, at] of lastListed) {
      if (at < listTimes[0]) lastListed.delete(id);
    }
  }

  return {
    record(ids, beganAt) {
      listTimes.push(beganAt);
      for (const id of ids) lastListed.set(id, beganAt);
      prune(beganAt);
    },
    hasLeft(id, since) {
      const presentAt = Math.max(since, lastListed.get(id) ?? -Infinity);
      const first = listTimes.find(time => time > presentAt);
      const last = listTimes.at(-1);
      if (first === undefined || last === undefined) return false;
      return last - first >= confirmationMs;
    },
    getLastBeganAt: () => listTimes.at(-1) ?? -Infinity,
  };
}
