import {JobAttempt} from './job_attempt';
import {JobSize} from './job_size';
import {JobState} from './job_state';
import {TaskUsage} from './task_usage';

/** An accepted long job, stored at jobs/POOL/ID; times are in ms since the epoch. */
export interface Job {
  readonly id: string;
  /** Differs with every write, so that a lost answer can be resolved. */
  readonly operationId: string;
  readonly service: string;
  readonly pool: string;
  readonly team: string;
  readonly state: JobState;
  /** Term of the last leader that wrote the record; 0 before any did. */
  readonly term: number;
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
  /** Most that the job's last attempt was seen to use. */
  readonly usage?: TaskUsage;
  /** Why the job is in its state, for callers and operators. */
  readonly cause: string;
  readonly finishedAt?: number;
}
