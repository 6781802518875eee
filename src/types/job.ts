import {JobAttempt} from './job_attempt';
import {JobSize} from './job_size';
import {JobState} from './job_state';
import {TaskUsage} from './task_usage';

/**
 * An accepted long job, stored at jobs/POOL/ID; times are in ms since the
 * epoch.
 */
export interface Job {
  readonly id: string;
  /** Unique id of the last write, by which a lost answer is resolved. */
  readonly operationId: string;
  readonly service: string;
  readonly pool: string;
  readonly team: string;
  readonly state: JobState;
  /** Term of the last leader that wrote the record; 0 if none has. */
  readonly term: number;
  readonly idempotent: boolean;
  readonly size: JobSize;
  /** Declared run time in ms; may be far from the actual one. */
  readonly runTimeMs: number;
  readonly submittedAt: number;
  readonly dueAt: number;
  /** Opaque input that is passed to the worker. */
  readonly input: string;
  /** Attempts that have been started; the last one is the current one. */
  readonly attempts: readonly JobAttempt[];
  /** Checkpoint that the next attempt resumes from. */
  readonly checkpoint?: string;
  readonly result?: string;
  /** Peak resource usage reported for the last attempt. */
  readonly usage?: TaskUsage;
  /** Human-readable reason for the current state, for callers and operators. */
  readonly cause: string;
  readonly finishedAt?: number;
}
