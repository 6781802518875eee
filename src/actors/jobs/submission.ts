import {JobSize} from '../../types';

/** A job as submitted by a caller. */
export interface Submission {
  readonly service: string;
  readonly team: string;
  /**
   * Submissions of a service and team with the same key result in a single job.
   */
  readonly idempotencyKey?: string;
  /**
   * Whether the job may be run more than once; defaults to the profile's
   * setting.
   */
  readonly idempotent?: boolean;
  readonly size: JobSize;
  readonly runTimeMs: number;
  /** Time by which the job is due, in ms since the epoch. */
  readonly dueAt: number;
  readonly input: string;
}
