import {Job} from '../../types';
import {Estimate} from './estimates';

/** Every how many jobs one that can't be on time any more goes first. */
const LATE_EVERY = 4;

interface Ordered {
  readonly job: Job;
  /** Latest start that is on time, in ms since the epoch. */
  readonly latestStart: number;
}

/**
 * Orders waiting jobs by their latest start.
 *
 * Jobs that can't be on time any more yield to those that can, but for one
 * place in four, so that they end too.
 *
 * @param jobs waiting jobs
 * @param estimate tells what a job is expected to take
 * @param now time in ms since the epoch
 */
export function orderJobs(
  jobs: readonly Job[],
  estimate: (job: Job) => Estimate,
  now: number,
): readonly Job[] {
  const onTime: Ordered[] = [];
  const late: Ordered[] = [];
  for (const job of jobs) {
    const latestStart = job.dueAt - estimate(job).runTimeMs;
    (latestStart >= now ? onTime : late).push({job, latestStart});
  }
  onTime.sort((a, b) => a.latestStart - b.latestStart);
  late.sort((a, b) => a.job.submittedAt - b.job.submittedAt);
  return merge(onTime, late);
}

function merge(
  onTime: readonly Ordered[],
  late: readonly Ordered[],
): readonly Job[] {
  const merged: Job[] = [];
  let i = 0;
  let j = 0;
  while (i < onTime.length || j < late.length) {
    const turn = merged.length % LATE_EVERY === LATE_EVERY - 1;
    const takeLate = j < late.length && (turn || i >= onTime.length);
    merged.push(takeLate ? late[j++].job : onTime[i++].job);
  }
  return merged;
}
