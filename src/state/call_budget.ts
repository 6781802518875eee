import {delay} from './delay';

/** Limits the rate of a member's background calls to the store. */
export interface CallBudget {
  /** Resolves once one more call may be made. */
  take(): Promise<void>;
}

/** Rate and burst of a limiter. */
export interface CallBudgetOptions {
  readonly callsPerSecond: number;
  /** Calls that may be made at once after an idle period. */
  readonly burst: number;
}

/**
 * Creates a rate limiter that works as a token bucket, which is full at first.
 *
 * @param options rate and burst
 */
export function createCallBudget(options: CallBudgetOptions): CallBudget {
  const {callsPerSecond, burst} = options;
  const gapMs = 1_000 / callsPerSecond;
  /** Time at which the bucket is full again, on the monotonic clock. */
  let fullAt = performance.now();

  return {
    async take() {
      const now = performance.now();
      fullAt = Math.max(fullAt, now) + gapMs;
      const waitMs = fullAt - now - burst * gapMs;
      if (waitMs > 0) await delay(waitMs);
    },
  };
}
