import {RunRecord} from '../../src/stand_ins/worker';
import {Outcome} from '../../src/types';
import {ProcessSite} from '../shared';
import {Attempt} from './attempt';

/** Counts the whole answers that came within a window and their deadline. */
export function countGood(
  attempts: readonly Attempt[],
  from: number,
  to: number,
  deadlineMs: number,
): number {
  return attempts.filter(
    ({whole, sentAt, endedAt}) =>
      whole &&
      endedAt >= from &&
      endedAt < to &&
      endedAt - sentAt <= deadlineMs,
  ).length;
}

/** Returns the time in ms that half of the refusals took at most; 0 without one. */
export function refusalMedian(attempts: readonly Attempt[]): number {
  const refused = attempts.filter(
    ({status, outcome}) => status >= 400 && outcome === Outcome.NotRun,
  );
  return median(refused.map(({sentAt, endedAt}) => endedAt - sentAt));
}

/** Returns the middle of the values; 0 if there is none. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** What the workers know of a bench's runs. */
export interface WorkerSide {
  readonly runs: readonly RunRecord[];
  /** Workers that ran more at once than they have slots. */
  readonly exceeded: number;
}

/** Reads every worker's runs. */
export async function readWorkers(site: ProcessSite): Promise<WorkerSide> {
  const read = await Promise.all(site.hosts.map(host => site.readRuns(host)));
  const exceeded = read.filter(
    ({slotsPeak}, i) => slotsPeak > site.hosts[i].slots,
  );
  return {runs: read.flatMap(({runs}) => runs), exceeded: exceeded.length};
}

/** Counts requests that were called not run and were run. */
export function countFalseNotRun(
  attempts: readonly Attempt[],
  runs: readonly RunRecord[],
): number {
  const ran = new Set(runs.map(({id}) => id));
  return attempts.filter(
    ({outcome, requestId}) => outcome === Outcome.NotRun && ran.has(requestId),
  ).length;
}

/** Counts answers that claim success and aren't the whole answer, and broken ones. */
export function countWrongOrCut(attempts: readonly Attempt[]): number {
  return attempts.filter(
    ({status, whole}) => status === 0 || (status === 200 && !whole),
  ).length;
}

/** Counts the refusals of each reason, for the report. */
export function countReasons(attempts: readonly Attempt[]): string {
  const counts = new Map<string, number>();
  for (const {reason = 'answered', status} of attempts) {
    const key = status === 0 ? 'broken' : `${reason} ${status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, n]) => `${key}: ${n}`).join(', ');
}

/** Describes how long runs took and how many ended, for the report. */
export function describeRuns(runs: readonly RunRecord[]): string {
  const times = runs.map(({startedAt, endedAt}) => (endedAt ?? 0) - startedAt);
  const mean = times.reduce((sum, ms) => sum + ms, 0) / runs.length;
  return `${runs.length} runs of ${mean.toFixed(1)} ms`;
}
