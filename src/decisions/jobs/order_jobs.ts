import {Job} from '../../types';
import {Estimate} from './estimates';

/**
 * Number of places in the order of which one goes to a job that can no longer
 * be on time.
 */
const LATE_JOB_INTERVAL = 4;

interface Ordered {
  readonly job: Job;
  /** Latest start time at which the job ends on time, in ms since the epoch. */
  readonly latestStart: number;
}

/**
 * Orders waiting jobs by their latest start time.
 *
 * Jobs that can no longer be on time come after those that can, except for
 * every fourth place, so that they are not starved.
 *
 * @param jobs waiting jobs
 * @param estimate returns the expected run time and size of a job
 * @param now current time in ms since the epoch
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
    const isLateTurn =
      merged.length % LATE_JOB_INTERVAL === LATE_JOB_INTERVAL - 1;
    const takeLate = j < late.length && (isLateTurn || i >= onTime.length);
    merged.push(takeLate ? late[j++].job : onTime[i++].job);
  }
  return merged;
}
