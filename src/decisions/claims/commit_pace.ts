/** Token bucket that limits the commits of a partition; one commit takes one token. */
export interface CommitPace {
  /** Tokens available at time `at`; may be fractional. */
  readonly left: number;
  /** Monotonic time of the last change, in ms. */
  readonly at: number;
}

/** Capacity of the bucket: commits that may follow each other without delay after an idle time. */
const BURST_COMMITS = 4;

/** Full bucket of a partition without commits. */
export const FULL_PACE: CommitPace = {left: BURST_COMMITS, at: 0};

/**
 * Returns the earliest time of the next commit.
 *
 * @param pace token bucket of the partition
 * @param spacingMs mean time between commits, in ms
 * @returns monotonic time in ms
 */
export function nextCommitAt(pace: CommitPace, spacingMs: number): number {
  return pace.at + Math.max(0, 1 - pace.left) * spacingMs;
}

/**
 * Refills the bucket and takes the token of one commit.
 *
 * @param pace token bucket before the commit
 * @param spacingMs mean time between commits, in ms
 * @param now monotonic time of the commit, in ms
 */
export function takeCommit(
  {left, at}: CommitPace,
  spacingMs: number,
  now: number,
): CommitPace {
  const grown = spacingMs === 0 ? BURST_COMMITS : (now - at) / spacingMs;
  return {left: Math.min(BURST_COMMITS, left + grown) - 1, at: now};
}
