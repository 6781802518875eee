import {Job, JobState} from '../../types';
import {listFailedHosts} from './after_attempt';

/** A worker that probably causes the failures of its jobs. */
export interface Suspect {
  readonly hostId: string;
  readonly cause: string;
}

/** Inputs of the search for suspects. */
export interface SuspectInputs {
  readonly jobs: Iterable<Job>;
  /** Current time in ms since the epoch. */
  readonly now: number;
  /**
   * Last reported boot number of each worker, by host id; a reboot clears
   * earlier failures.
   */
  readonly boots: ReadonlyMap<string, number>;
}

/** Maximum age of the attempts that count, in ms. */
const WINDOW_MS = 600_000;
/**
 * Number of jobs failed by a worker and completed by others from which it is
 * suspect.
 */
const MIN_COMPLETED_ELSEWHERE = 2;
/**
 * Number of jobs failed by a worker that completed none from which it is
 * suspect.
 */
const MIN_FAILED_WITHOUT_COMPLETED = 3;

/**
 * Maximum fraction of a pool's workers reported as suspects; if more fail, the
 * jobs are the likely cause.
 */
const MAX_SUSPECT_FRACTION = 0.25;

interface FailureRecord {
  failed: number;
  completedElsewhere: number;
  completed: number;
}

/**
 * Finds workers that fail jobs which other workers complete, or that fail all
 * of their jobs.
 *
 * Unfinished jobs that failed on several workers are ignored, since the jobs
 * themselves are probably faulty.
 *
 * @param inputs jobs with their attempts, the current time and boot numbers
 */
export function findSuspects(inputs: SuspectInputs): readonly Suspect[] {
  const records = new Map<string, FailureRecord>();
  for (const job of inputs.jobs) addJob(records, job, inputs);
  const suspects: (Suspect & FailureRecord)[] = [];
  for (const [hostId, record] of records) {
    const {failed, completedElsewhere, completed} = record;
    const failsAll = failed >= MIN_FAILED_WITHOUT_COMPLETED && completed === 0;
    if (completedElsewhere < MIN_COMPLETED_ELSEWHERE && !failsAll) continue;
    if (completed >= failed) continue;
    suspects.push({
      ...record,
      hostId,
      cause: `${hostId} failed ${failed} jobs, ${completedElsewhere} of which others completed, and completed ${completed}`,
    });
  }
  const limit = Math.ceil(inputs.boots.size * MAX_SUSPECT_FRACTION);
  return suspects
    .sort((a, b) => b.failed - a.failed)
    .slice(0, limit)
    .map(({hostId, cause}) => ({hostId, cause}));
}

function addJob(
  records: Map<string, FailureRecord>,
  job: Job,
  inputs: SuspectInputs,
): void {
  const done = job.state === JobState.Done;
  const failedOn = new Set(listFailedHosts(job));
  if (!done && failedOn.size > 1) return;
  for (const hostId of failedOn) {
    const record = findRecord(records, job, hostId, inputs);
    if (!record) continue;
    record.failed += 1;
    if (done) record.completedElsewhere += 1;
  }
  if (!done) return;
  const record = findRecord(records, job, job.attempts.at(-1)?.hostId, inputs);
  if (record) record.completed += 1;
}

/**
 * Returns the record of a host if an attempt of the job ended on it within the
 * window and during its current boot.
 */
function findRecord(
  records: Map<string, FailureRecord>,
  job: Job,
  hostId: string | undefined,
  {now, boots}: SuspectInputs,
): FailureRecord | undefined {
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
