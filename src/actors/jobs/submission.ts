import {JobSize} from '../../types';

/** A long job as its caller submits it. */
export interface Submission {
  readonly service: string;
  readonly team: string;
  /** Repeated submissions with the same key are the same job. */
  readonly idempotencyKey?: string;
  /** Whether the job may be run again; the profile's default if undefined. */
  readonly idempotent?: boolean;
  readonly size: JobSize;
  readonly runTimeMs: number;
  /** Wall-clock time in ms since the epoch. */
  readonly dueAt: number;
  readonly input: string;
}
