/** Counts the tasks that an entry host has accepted lately. */
export interface RecentTasks {
  add(taskCount: number): void;
  count(): number;
}

/**
 * Creates an empty count.
 *
 * @param periodMs time in ms for which an acceptance counts
 */
export function createRecentTasks(periodMs: number): RecentTasks {
  let accepted: ReadonlyArray<{
    readonly at: number;
    readonly taskCount: number;
  }> = [];

  function listRecent() {
    const since = performance.now() - periodMs;
    return accepted.filter(({at}) => at > since);
  }

  return {
    add(taskCount) {
      accepted = [...listRecent(), {at: performance.now(), taskCount}];
    },
    count: () => listRecent().reduce((sum, {taskCount}) => sum + taskCount, 0),
  };
}
