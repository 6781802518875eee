/** Limits retries to a fraction of the successes. */
export interface RetryBudget {
  /** Adds a success's fraction of a retry. */
  succeed(): void;
  /** Takes one retry; false if the budget is spent. */
  take(): boolean;
}

/** Retries that one success pays for. */
const RETRIES_PER_SUCCESS = 0.08;
/** Retries that may be saved up. */
const MAX_SAVED_RETRIES = 10;
const INITIAL_RETRIES = 3;

/** Creates a budget that allows a few retries at once. */
export function createRetryBudget(): RetryBudget {
  let saved = INITIAL_RETRIES;
  return {
    succeed() {
      saved = Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_SUCCESS);
    },
    take() {
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
}
