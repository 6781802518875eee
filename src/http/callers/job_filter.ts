import {isFinal} from '../../decisions/jobs';
import {Job} from '../../types';

/**
 * Creates the filter that the query of a job list describes.
 *
 * @param query the query; supports "overdue=true" and "state=STATE", both
 *   optional
 */
export function createJobFilter(
  query: URLSearchParams,
): (jobs: readonly Job[]) => readonly Job[] {
  const state = query.get('state');
  const overdue = query.get('overdue') === 'true';
  const now = Date.now();
  return jobs =>
    jobs
      .filter(job => state === null || job.state === state)
      .filter(job => !overdue || (!isFinal(job.state) && job.dueAt < now));
}
