import {JobSize} from '../types';

/** Order to start one attempt of a job under a lease. */
export interface TaskStart {
  readonly jobId: string;
  readonly pool: string;
  readonly attempt: number;
  /** Fencing term; the worker refuses terms below the highest it has seen for the pool. */
  readonly term: number;
  /** The worker stops the task if no renewal comes for this long. */
  readonly leaseMs: number;
  readonly size: JobSize;
  readonly input: string;
  readonly checkpoint?: string;
  readonly idempotent: boolean;
}
