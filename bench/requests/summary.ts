import {RunRecord} from '../../src/stand_ins/worker';
import {Outcome} from '../../src/types';
import {ProcessSite} from '../shared';
import {Attempt} from './attempt';

/**
 * Counts the complete answers that were received within a time window and
 * within their deadline.
 */
export function countInTime(
  attempts: readonly Attempt[],
  from: number,
  to: number,
  deadlineMs: number,
): number {
  return attempts.filter(
    ({complete, sentAt, endedAt}) =>
      complete &&
      endedAt >= from &&
      endedAt < to &&
      endedAt - sentAt <= deadlineMs,
  ).length;
}

/** Returns the median time to a refusal in ms; 0 if nothing was refused. */
export function refusalMedianMs(attempts: readonly Attempt[]): number {
  const refused = attempts.filter(
    ({status, outcome}) => status >= 400 && outcome === Outcome.NotRun,
  );
  return median(refused.map(({sentAt, endedAt}) => endedAt - sentAt));
}

/**
 * Returns the median of values, for an even number the upper middle value; 0 if
 * there are none.
 */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Runs recorded by the workers of a site. */
export interface WorkerRuns {
  readonly runs: readonly RunRecord[];
  /** Number of workers that ran more requests at once than they have slots. */
  readonly exceeded: number;
}

/** Reads the runs of all workers. */
export async function readWorkers(site: ProcessSite): Promise<WorkerRuns> {
  const read = await Promise.all(site.hosts.map(host => site.readRuns(host)));
  const exceeded = read.filter(
    ({slotsPeak}, i) => slotsPeak > site.hosts[i].slots,
  );
  return {runs: read.flatMap(({runs}) => runs), exceeded: exceeded.length};
}

/**
 * Counts the requests that were reported as not run although a worker ran them.
 */
export function countFalseNotRun(
  attempts: readonly Attempt[],
  runs: readonly RunRecord[],
): number {
  const ran = new Set(runs.map(({id}) => id));
  return attempts.filter(
    ({outcome, requestId}) => outcome === Outcome.NotRun && ran.has(requestId),
  ).length;
}

/**
 * Counts the answers with status 200 that are wrong or truncated, and the
 * requests whose connection failed.
 */
export function countWrongOrTruncated(attempts: readonly Attempt[]): number {
  return attempts.filter(
    ({status, complete}) => status === 0 || (status === 200 && !complete),
  ).length;
}

/**
 * Describes the number of attempts by refusal reason and status, for progress
 * messages.
 */
export function countReasons(attempts: readonly Attempt[]): string {
  const counts = new Map<string, number>();
  for (const {reason = 'answered', status} of attempts) {
    const key = status === 0 ? 'broken' : `${reason} ${status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, n]) => `${key}: ${n}`).join(', ');
}

/**
 * Describes the number of runs and their mean duration, for progress messages.
 */
export function describeRuns(runs: readonly RunRecord[]): string {
  const times = runs.map(({startedAt, endedAt}) => (endedAt ?? 0) - startedAt);
  const mean = times.reduce((sum, ms) => sum + ms, 0) / runs.length;
  return `${runs.length} runs of ${mean.toFixed(1)} ms`;
}
