import {AttemptEnd} from './attempt_end';

/** One attempt to run a job on a worker; times are in ms since the epoch. */
export interface JobAttempt {
  readonly number: number;
  readonly hostId: string;
  /** Term of the leader that started the attempt. */
  readonly term: number;
  /** Boot of the worker that the attempt was meant for. */
  readonly bootNumber?: number;
  readonly startedAt: number;
  readonly end?: AttemptEnd;
  readonly endedAt?: number;
}
