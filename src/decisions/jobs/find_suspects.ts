import {AttemptEnd, Job, JobState} from '../../types';
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
  const suspects: Suspect[] = [];
  for (const [hostId, record] of records) {
    const {failed, completedElsewhere, completed} = record;
    const failsAll = failed >= ALL_FAILED && completed === 0;
    if (completedElsewhere < COMPLETED_ELSEWHERE && !failsAll) continue;
    if (completed >= failed) continue;
    suspects.push({
      hostId,
      cause: `${hostId} failed ${failed} jobs, ${completedElsewhere} of which others completed, and completed ${completed}`,
    });
  }
  return suspects;
}

function addJob(
  records: Map<string, Record>,
  job: Job,
  {now, boots}: SuspectInputs,
): void {
  if (job.state === JobState.Held && failedHosts(job).length > 1) return;
  const done = job.state === JobState.Done;
  for (const {hostId, end, endedAt, bootNumber} of job.attempts) {
    if (endedAt === undefined || endedAt < now - WINDOW_MS) continue;
    if (bootNumber !== boots.get(hostId)) continue;
    const record = records.get(hostId) ?? {
      failed: 0,
      completedElsewhere: 0,
      completed: 0,
    };
    records.set(hostId, record);
    if (end === AttemptEnd.Done) record.completed += 1;
    if (end !== AttemptEnd.Failed) continue;
    record.failed += 1;
    if (done) record.completedElsewhere += 1;
  }
}
