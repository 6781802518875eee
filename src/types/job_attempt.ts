import {AttemptEnd} from './attempt_end';

/** One attempt to run a job on a worker; times are in ms since the epoch. */
export interface JobAttempt {
  readonly number: number;
  readonly hostId: string;
  /** Term of the leader that started the attempt. */
  readonly term: number;
  /** Boot number of the worker for which the attempt was intended. */
  readonly bootNumber?: number;
  readonly startedAt: number;
  readonly end?: AttemptEnd;
  readonly endedAt?: number;
}
