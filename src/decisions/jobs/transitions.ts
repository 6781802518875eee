import {JobState} from '../../types';

/** Every allowed change of a job's state. */
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
 * Tells whether a job may go from one state to another.
 *
 * @param from current state
 * @param to next state
 */
export function canChange(from: JobState, to: JobState): boolean {
  return JOB_TRANSITIONS[from].includes(to);
}

/**
 * Tells whether a job has reached a state that it never leaves.
 *
 * @param state the job's state
 */
export function isFinal(state: JobState): boolean {
  return JOB_TRANSITIONS[state].length === 0;
}

/**
 * Tells whether a job's last attempt may be running.
 *
 * @param state the job's state
 */
export function isActive(state: JobState): boolean {
  return state === JobState.Starting || state === JobState.Running;
}

/**
 * Tells whether a job waits for its next attempt.
 *
 * @param state the job's state
 */
export function isWaiting(state: JobState): boolean {
  return state === JobState.Waiting || state === JobState.Checkpointed;
}
