/** Statistics of a demo run. */
export interface DemoSummary {
  answered: number;
  refusedByReason: Record<string, number>;
  jobsDone: number;
  /** Accepted jobs whose record could not be read at the end. */
  jobsLost: number;
  hostsMaintained: number;
  /**
   * Number of checks that found a pool with more unavailable hosts than its
   * budget allows.
   */
  budgetBreaches: number;
  /** Idempotency keys whose request ran more than once. */
  doubled: number;
}

/** Creates a summary with all counts at 0. */
export function createDemoSummary(): DemoSummary {
  return {
    answered: 0,
    refusedByReason: {},
    jobsDone: 0,
    jobsLost: 0,
    hostsMaintained: 0,
    budgetBreaches: 0,
    doubled: 0,
  };
}
