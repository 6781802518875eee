import {delay} from './delay';

/** Limits the rate of a member's background calls to the store. */
export interface RateLimiter {
  /** Resolves once one more call may be made. */
  acquire(): Promise<void>;
  /** Returns whether one more call may be made now, and counts it if so. */
  tryAcquire(): boolean;
}

/** Rate and burst of a limiter. */
export interface RateLimiterOptions {
  readonly callsPerSecond: number;
  /** Calls that may be made at once after an idle period. */
  readonly burst: number;
}

/**
 * Creates a rate limiter that works as a token bucket, which is full at first.
 *
 * @param options rate and burst
 */
export function createRateLimiter(options: RateLimiterOptions): RateLimiter {
  const {callsPerSecond, burst} = options;
  const intervalMs = 1_000 / callsPerSecond;
  /** Time at which the bucket is full again, on the monotonic clock. */
  let fullAt = performance.now();

  /** Returns the time in ms until one more call may be made. */
  function getWaitMs(): number {
    const now = performance.now();
    return Math.max(fullAt, now) + intervalMs - now - burst * intervalMs;
  }

  function count(): void {
    fullAt = Math.max(fullAt, performance.now()) + intervalMs;
  }

  return {
    async acquire() {
      const waitMs = getWaitMs();
      count();
      if (waitMs > 0) await delay(waitMs);
    },
    tryAcquire() {
      if (getWaitMs() > 0) return false;
      count();
      return true;
    },
  };
}
