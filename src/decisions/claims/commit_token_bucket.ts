/**
 * Token bucket that limits the commits of a partition; one commit takes one
 * token.
 */
export interface CommitTokenBucket {
  /** Tokens available at `updatedAt`; may be fractional. */
  readonly tokens: number;
  /** Monotonic time of the last change, in ms. */
  readonly updatedAt: number;
}

/**
 * Capacity of the bucket: commits that may follow each other without delay
 * after an idle time.
 */
const BURST_COMMITS = 4;

/** Full bucket of a partition without commits. */
export const FULL_BUCKET: CommitTokenBucket = {
  tokens: BURST_COMMITS,
  updatedAt: 0,
};

/**
 * Returns the earliest time of the next commit.
 *
 * @param bucket token bucket of the partition
 * @param spacingMs mean time between commits, in ms
 * @returns monotonic time in ms
 */
export function getNextCommitTime(
  bucket: CommitTokenBucket,
  spacingMs: number,
): number {
  return bucket.updatedAt + Math.max(0, 1 - bucket.tokens) * spacingMs;
}

/**
 * Refills the bucket and takes the token of one commit.
 *
 * @param bucket token bucket before the commit
 * @param spacingMs mean time between commits, in ms
 * @param now monotonic time of the commit, in ms
 */
export function takeCommit(
  {tokens, updatedAt}: CommitTokenBucket,
  spacingMs: number,
  now: number,
): CommitTokenBucket {
  const refilled =
    spacingMs === 0 ? BURST_COMMITS : (now - updatedAt) / spacingMs;
  return {
    tokens: Math.min(BURST_COMMITS, tokens + refilled) - 1,
    updatedAt: now,
  };
}
