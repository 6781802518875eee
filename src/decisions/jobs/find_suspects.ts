import {Job, JobState} from '../../types';
import {failedHosts} from './after_attempt';

/** A worker that fails what others complete. */
export interface Suspect {
  readonly hostId: string;
  readonly cause: string;
}

/** Inputs of the search for suspects. */
export interface SuspectInputs {
  readonly jobs: Iterable<Job>;
  readonly now: number;
  /** Boot of each worker as last reported; a reboot clears it of suspicion. */
  readonly boots: ReadonlyMap<string, number>;
}

const WINDOW_MS = 600_000;
/** Jobs that a worker failed and others completed before it is suspect. */
const COMPLETED_ELSEWHERE = 2;
/** Jobs that a worker failed without completing any before it is suspect. */
const ALL_FAILED = 3;

/** Share of a pool's workers that may be suspect; beyond it the work is to blame. */
const MAX_SHARE = 0.25;

interface Record {
  failed: number;
  completedElsewhere: number;
  completed: number;
}

/**
 * Finds workers that fail what others complete, or everything that they start.
 *
 * Jobs that failed on several workers are held as faulty and prove nothing.
 *
 * @param inputs jobs with their attempts, time and boots
 */
export function findSuspects(inputs: SuspectInputs): readonly Suspect[] {
  const records = new Map<string, Record>();
  for (const job of inputs.jobs) addJob(records, job, inputs);
  const suspects: (Suspect & Record)[] = [];
  for (const [hostId, record] of records) {
    const {failed, completedElsewhere, completed} = record;
    const failsAll = failed >= ALL_FAILED && completed === 0;
    if (completedElsewhere < COMPLETED_ELSEWHERE && !failsAll) continue;
    if (completed >= failed) continue;
    suspects.push({
      ...record,
      hostId,
      cause: `${hostId} failed ${failed} jobs, ${completedElsewhere} of which others completed, and completed ${completed}`,
    });
  }
  const most = Math.ceil(inputs.boots.size * MAX_SHARE);
  return suspects
    .sort((a, b) => b.failed - a.failed)
    .slice(0, most)
    .map(({hostId, cause}) => ({hostId, cause}));
}

function addJob(
  records: Map<string, Record>,
  job: Job,
  inputs: SuspectInputs,
): void {
  const done = job.state === JobState.Done;
  const failedOn = new Set(failedHosts(job));
  if (!done && failedOn.size > 1) return;
  for (const hostId of failedOn) {
    const record = find(records, job, hostId, inputs);
    if (!record) continue;
    record.failed += 1;
    if (done) record.completedElsewhere += 1;
  }
  if (!done) return;
  const record = find(records, job, job.attempts.at(-1)?.hostId, inputs);
  if (record) record.completed += 1;
}

/** Returns the record of a host that the job ran on lately, in its current boot. */
function find(
  records: Map<string, Record>,
  job: Job,
  hostId: string | undefined,
  {now, boots}: SuspectInputs,
): Record | undefined {
  const recent = job.attempts.some(
    attempt =>
      attempt.hostId === hostId &&
      attempt.bootNumber === boots.get(hostId) &&
      (attempt.endedAt ?? 0) > now - WINDOW_MS,
  );
  if (hostId === undefined || !recent) return undefined;
  const known = records.get(hostId);
  if (known) return known;
  const created = {failed: 0, completedElsewhere: 0, completed: 0};
  records.set(hostId, created);
  return created;
}
