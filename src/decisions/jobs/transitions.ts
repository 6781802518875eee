import {JobState} from '../../types';

/** Allowed transitions between job states. */
export const JOB_TRANSITIONS: Readonly<Record<JobState, readonly JobState[]>> =
  {
    [JobState.Waiting]: [
      JobState.Starting,
      JobState.Cancelled,
      JobState.Held,
      JobState.Failed,
    ],
    [JobState.Starting]: [
      JobState.Running,
      JobState.Checkpointed,
      JobState.Waiting,
      JobState.Done,
      JobState.Failed,
      JobState.Held,
      JobState.Cancelled,
    ],
    [JobState.Running]: [
      JobState.Checkpointed,
      JobState.Waiting,
      JobState.Done,
      JobState.Failed,
      JobState.Held,
      JobState.Cancelled,
    ],
    [JobState.Checkpointed]: [
      JobState.Starting,
      JobState.Cancelled,
      JobState.Held,
    ],
    [JobState.Held]: [JobState.Waiting, JobState.Failed, JobState.Cancelled],
    [JobState.Done]: [],
    [JobState.Failed]: [],
    [JobState.Cancelled]: [],
  };

/**
 * Returns whether a job may change from one state to another.
 *
 * @param from current state
 * @param to next state
 */
export function canChange(from: JobState, to: JobState): boolean {
  return JOB_TRANSITIONS[from].includes(to);
}

/**
 * Returns whether a job state is final.
 *
 * @param state the job's state
 */
export function isFinal(state: JobState): boolean {
  return JOB_TRANSITIONS[state].length === 0;
}

/**
 * Returns whether the last attempt of a job may be running.
 *
 * @param state the job's state
 */
export function isActive(state: JobState): boolean {
  return state === JobState.Starting || state === JobState.Running;
}

/**
 * Returns whether a job is waiting for its next attempt.
 *
 * @param state the job's state
 */
export function isWaiting(state: JobState): boolean {
  return state === JobState.Waiting || state === JobState.Checkpointed;
}
