import {Job} from '../../types';

/** A job whose submission was acknowledged as accepted. */
export interface AcceptedJob {
  readonly id: string;
  readonly idempotent: boolean;
}

/** A run of an attempt at a worker; times are in ms since the epoch. */
export interface JobRun {
  readonly jobId: string;
  readonly attempt: number;
  readonly hostId: string;
  readonly startedAt: number;
  /** Undefined while the run is active. */
  readonly endedAt?: number;
  readonly completed: boolean;
}

/**
 * Externally observed history of long-running jobs, read once no work is
 * pending.
 */
export interface JobHistory {
  readonly accepted: readonly AcceptedJob[];
  /** Records in the store at the end. */
  readonly records: readonly Job[];
  /** Runs as recorded by the workers. */
  readonly runs: readonly JobRun[];
  /** Ids of the jobs that an operator released to run again. */
  readonly released?: ReadonlySet<string>;
}

/**
 * Converts a worker's run to the run of a job.
 *
 * @param run the run; its id is "JOB#ATTEMPT" if it belongs to a job
 * @returns the run of the job; undefined if the run belongs to a request
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
