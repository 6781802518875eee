import {delay} from './delay';

/** Spreads a member's background calls to the store. */
export interface CallBudget {
  /** Waits until one more call may be made. */
  take(): Promise<void>;
}

/** Size of a call budget. */
export interface CallBudgetOptions {
  readonly callsPerSecond: number;
  /** Calls that may be made at once after a quiet time. */
  readonly burst: number;
}

/**
 * Creates a token bucket for calls.
 *
 * @param options rate and burst
 * @returns the budget, full at first
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
