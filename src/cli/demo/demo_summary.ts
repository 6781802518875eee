/** What the demo measured. */
export interface DemoSummary {
  answered: number;
  refusedByReason: Record<string, number>;
  jobsDone: number;
  jobsLost: number;
  hostsMaintained: number;
  budgetBreaches: number;
  doubled: number;
}

/** Creates a summary of nothing. */
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
