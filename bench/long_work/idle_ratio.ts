import {JobRun} from '../../src/history/jobs';

/** Runs and slots of a pool whose backlog is full. */
export interface IdleRatioInputs {
  readonly runs: readonly JobRun[];
  readonly slots: number;
  /** Time after the first start in ms that is left out while the pool fills. */
  readonly warmUpMs: number;
}

/**
 * Returns the ratio of slot time that was idle while jobs were waiting.
 *
 * Jobs are waiting until the last one starts; each job takes one slot.
 */
export function measureIdleRatio({
  runs,
  slots,
  warmUpMs: fillMs,
}: IdleRatioInputs): number {
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
