/** How many commits a partition may make now; grows back with time. */
export interface CommitPace {
  /** Commits that could be made at the time below; may be a fraction. */
  readonly left: number;
  /** Monotonic time of the last change, in ms. */
  readonly at: number;
}

/** Commits that may follow each other at once after a quiet time. */
const BURST_COMMITS = 4;

/** Pace of a partition that has made no commit. */
export const FULL_PACE: CommitPace = {left: BURST_COMMITS, at: 0};

/**
 * Finds the earliest time of the next commit.
 *
 * @param pace pace of the partition
 * @param spacingMs mean time between commits, in ms
 * @returns monotonic time in ms
 */
export function nextCommitAt(pace: CommitPace, spacingMs: number): number {
  return pace.at + Math.max(0, 1 - pace.left) * spacingMs;
}

/**
 * Takes one commit.
 *
 * @param pace pace before
 * @param spacingMs mean time between commits, in ms
 * @param now monotonic time in ms
 */
export function takeCommit(
  {left, at}: CommitPace,
  spacingMs: number,
  now: number,
): CommitPace {
  const grown = spacingMs === 0 ? BURST_COMMITS : (now - at) / spacingMs;
  return {left: Math.min(BURST_COMMITS, left + grown) - 1, at: now};
}
