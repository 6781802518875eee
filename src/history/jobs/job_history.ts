import {Job} from '../../types';

/** A job whose submission was answered as accepted. */
export interface AcceptedJob {
  readonly id: string;
  readonly idempotent: boolean;
}

/** One run of an attempt at a worker; times are in ms since the epoch. */
export interface JobRun {
  readonly jobId: string;
  readonly attempt: number;
  readonly hostId: string;
  readonly startedAt: number;
  /** Undefined while it still runs. */
  readonly endedAt?: number;
  readonly completed: boolean;
}

/** What was seen of long jobs from outside, after everything has settled. */
export interface JobHistory {
  readonly accepted: readonly AcceptedJob[];
  /** Records in the store at the end. */
  readonly records: readonly Job[];
  /** Runs by the word of the workers. */
  readonly runs: readonly JobRun[];
  /** Jobs that an operator released to run again. */
  readonly released?: ReadonlySet<string>;
}

/**
 * Reads a worker's run as the run of a job; undefined if it was a request.
 *
 * @param run a run whose id is "JOB#ATTEMPT"
 */
export function toJobRun(run: {
  readonly id: string;
  readonly hostId: string;
  readonly startedAt: number;
  readonly endedAt?: number;
  readonly completed: boolean;
}): JobRun | undefined {
  const match = /^(.+)#(\d+)$/.exec(run.id);
  if (!match) return undefined;
  const {hostId, startedAt, endedAt, completed} = run;
  return {
    jobId: match[1],
    attempt: Number(match[2]),
    hostId,
    startedAt,
    endedAt,
    completed,
  };
}
