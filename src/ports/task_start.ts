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
  /** The worker refuses the start if it has rebooted since this boot. */
  readonly bootNumber?: number;
  /** Wall-clock time in ms since the epoch after which the worker refuses the start. */
  readonly startBefore?: number;
  readonly size: JobSize;
  readonly input: string;
  readonly checkpoint?: string;
  readonly idempotent: boolean;
}
