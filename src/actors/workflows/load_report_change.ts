import {BUSY_MS, LoadReport, PoolLoad} from '../../decisions/workflows';

/** Minimum change of a drain time, in ms, that triggers a new report. */
const MIN_DRAIN_CHANGE_MS = 500;
/**
 * Minimum change of an organisation's drain time relative to the reported one;
 * bounds how often 20 organisations cause a report.
 */
const MIN_RELATIVE_CHANGE = 0.25;
/** Minimum change of the number of tasks that triggers a new report. */
const MIN_TASK_CHANGE = 5_000;
/**
 * Minimum time in ms between two reports that differ only in the numbers of
 * waiting workflows, as callers accept numbers that are 2 s old, or in who is
 * beyond its rate.
 */
const WAITING_INTERVAL_MS = 1_000;
/**
 * Time in ms after which the report of a busy pool is repeated, so that entry
 * hosts can tell it from that of a leader that is gone.
 */
const REPEAT_INTERVAL_MS = 2_000;

/**
 * Returns whether the load has changed enough for a new report.
 *
 * @param before the published report
 * @param report the current load
 * @param ageMs time in ms since `before` was published
 */
export function isReportDue(
  before: LoadReport,
  report: LoadReport,
  ageMs: number,
): boolean {
  const names = Object.keys({...before.pools, ...report.pools});
  const pools = names.map(pool => [before.pools[pool], report.pools[pool]]);
  if (pools.some(([old, next]) => hasChangedMuch(old, next))) return true;
  const taskChange = Math.abs((report.tasks ?? 0) - (before.tasks ?? 0));
  if (taskChange > MIN_TASK_CHANGE) return true;
  if (ageMs < WAITING_INTERVAL_MS) return false;
  if (hasOtherWaiting(before, report)) return true;
  if (pools.some(([old, next]) => listExcess(old) !== listExcess(next))) {
    return true;
  }
  if (ageMs < REPEAT_INTERVAL_MS) return false;
  return pools.some(([, next]) => isBusy(next));
}

function hasChangedMuch(
  before: PoolLoad | undefined,
  next: PoolLoad | undefined,
): boolean {
  const oldMs = before?.drainMs ?? 0;
  const nextMs = next?.drainMs ?? 0;
  if (Math.abs(nextMs - oldMs) > MIN_DRAIN_CHANGE_MS) return true;
  const names = Object.keys({...before?.organisations, ...next?.organisations});
  return names.some(name => {
    const old = before?.organisations?.[name];
    const own = next?.organisations?.[name];
    const changeMs = Math.abs((own?.drainMs ?? 0) - (old?.drainMs ?? 0));
    if (changeMs <= MIN_DRAIN_CHANGE_MS) return false;
    return changeMs > MIN_RELATIVE_CHANGE * (old?.drainMs ?? 0);
  });
}

/** Returns the names of the organisations beyond their rate. */
function listExcess(pool: PoolLoad | undefined): string {
  return Object.entries(pool?.organisations ?? {})
    .filter(([, {excessMs = 0}]) => excessMs > 0)
    .map(([name]) => name)
    .join();
}

function hasOtherWaiting(before: LoadReport, report: LoadReport): boolean {
  const old = before.waiting ?? {};
  const next = report.waiting ?? {};
  return Object.keys({...old, ...next}).some(
    queue => old[queue] !== next[queue],
  );
}

function isBusy(pool: PoolLoad | undefined): boolean {
  if (!pool) return false;
  if (pool.drainMs >= BUSY_MS) return true;
  return Object.keys(pool.organisations ?? {}).length > 0;
}
