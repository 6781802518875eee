import {JobAttempt} from './job_attempt';
import {JobSize} from './job_size';
import {JobState} from './job_state';

/** An accepted long job, stored at jobs/POOL/ID; times are in ms since the epoch. */
export interface Job {
  readonly id: string;
  readonly service: string;
  readonly pool: string;
  readonly team: string;
  readonly state: JobState;
  readonly idempotent: boolean;
  readonly size: JobSize;
  /** Declared run time; may be far off. */
  readonly runTimeMs: number;
  readonly submittedAt: number;
  readonly dueAt: number;
  /** Opaque input that the worker gets. */
  readonly input: string;
  /** Attempts started so far, the last one current. */
  readonly attempts: readonly JobAttempt[];
  /** Checkpoint that the next attempt resumes from. */
  readonly checkpoint?: string;
  readonly result?: string;
  /** Why the job is in its state, for callers and operators. */
  readonly cause: string;
  readonly finishedAt?: number;
}
