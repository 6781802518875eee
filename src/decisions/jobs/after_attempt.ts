import {AttemptEnd, Job, JobState} from '../../types';

/** State of a job after an attempt has ended, with its cause. */
export interface AfterAttempt {
  readonly state: JobState;
  readonly cause: string;
}

/**
 * Number of different healthy workers on which a job must fail to be held as
 * faulty.
 */
export const FAULTY_JOB_HOSTS = 3;

/** Number of failures, on any workers, at which a job is held as faulty. */
const FAULTY_JOB_FAILURES = 6;

/**
 * Determines the state of a job after its current attempt has verifiably ended.
 *
 * @param job the job, with the attempt as its last one
 * @param end how the attempt ended
 * @param suspects ids of hosts that fail jobs which other hosts complete
 */
export function decideAfterAttempt(
  job: Job,
  end: AttemptEnd,
  suspects: ReadonlySet<string>,
): AfterAttempt {
  const hostId = job.attempts.at(-1)?.hostId ?? '';
  switch (end) {
    case AttemptEnd.Done:
      return {state: JobState.Done, cause: `done on ${hostId}`};
    case AttemptEnd.Checkpointed:
      return {
        state: JobState.Checkpointed,
        cause: `checkpointed on ${hostId}, waits for a worker`,
      };
    case AttemptEnd.NotStarted:
      return {state: JobState.Waiting, cause: `${hostId} never started it`};
    case AttemptEnd.Failed:
      return decideAfterFailure(job, hostId, suspects);
    case AttemptEnd.Lost:
    case AttemptEnd.Stopped:
      if (job.idempotent) {
        return {
          state: JobState.Waiting,
          cause: `the attempt on ${hostId} was ${end}, a new one is due`,
        };
      }
      return {
        state: JobState.Held,
        cause: `the attempt on ${hostId} was ${end} with unknown outcome and the job is not idempotent`,
      };
  }
}

function decideAfterFailure(
  job: Job,
  hostId: string,
  suspects: ReadonlySet<string>,
): AfterAttempt {
  if (!job.idempotent) {
    return {state: JobState.Failed, cause: `failed on ${hostId}`};
  }
  const failedOn = new Set(listFailedHosts(job));
  failedOn.add(hostId);
  const healthy = [...failedOn].filter(id => !suspects.has(id));
  const failures = listFailedHosts(job).length + 1;
  if (healthy.length < FAULTY_JOB_HOSTS && failures < FAULTY_JOB_FAILURES) {
    return {
      state: JobState.Waiting,
      cause: `failed on ${hostId}, a new attempt is due elsewhere`,
    };
  }
  return {
    state: JobState.Held,
    cause: `faulty: failed ${failures} times, on ${[...failedOn].join(', ')}`,
  };
}

/**
 * Returns the hosts on which a job has failed.
 *
 * @param job the job
 */
export function listFailedHosts(job: Job): readonly string[] {
  return job.attempts
    .filter(attempt => attempt.end === AttemptEnd.Failed)
    .map(attempt => attempt.hostId);
}
