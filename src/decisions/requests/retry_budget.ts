/** Limits retries to a fraction of the successful requests. */
export interface RetryBudget {
  /** Records a successful request, which adds a fraction of a retry. */
  recordSuccess(): void;
  /** Takes one retry; returns false if the budget is exhausted. */
  tryTake(): boolean;
}

/** Retries added per successful request. */
const RETRIES_PER_SUCCESS = 0.08;
/** Maximum number of retries in the budget. */
const MAX_RETRIES = 10;
const INITIAL_RETRIES = 3;

/** Creates a budget that initially allows a few retries. */
export function createRetryBudget(): RetryBudget {
  let available = INITIAL_RETRIES;
  return {
    recordSuccess() {
      available = Math.min(MAX_RETRIES, available + RETRIES_PER_SUCCESS);
    },
    tryTake() {
      if (available < 1) return false;
      available -= 1;
      return true;
    },
  };
}
