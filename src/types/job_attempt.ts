/** One attempt to run a job on a worker; times are in ms since the epoch. */
export interface JobAttempt {
  readonly number: number;
  readonly hostId: string;
  /** Term of the leader that started the attempt. */
  readonly term: number;
  readonly startedAt: number;
}
