import {JobRun} from '../../src/history/jobs';

/** Slots and runs of a pool under a full backlog. */
export interface IdleInputs {
  readonly runs: readonly JobRun[];
  readonly slots: number;
  /** Time after the first start for which the pool may fill, in ms. */
  readonly fillMs: number;
}

/**
 * Returns the share of slot time that was idle while jobs waited.
 *
 * Jobs wait until the last one starts; each takes one slot.
 */
export function measureIdleRatio({runs, slots, fillMs}: IdleInputs): number {
  const starts = runs.map(({startedAt}) => startedAt);
  const from = Math.min(...starts) + fillMs;
  const to = Math.max(...starts);
  if (to <= from) return 0;
  let busy = 0;
  for (const {startedAt, endedAt = to} of runs) {
    busy += Math.max(0, Math.min(endedAt, to) - Math.max(startedAt, from));
  }
  return 1 - busy / (slots * (to - from));
}
