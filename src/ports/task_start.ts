import {JobSize} from '../types';

/** Order to start an attempt of a job under a lease. */
export interface TaskStart {
  readonly jobId: string;
  readonly pool: string;
  readonly attempt: number;
  /**
   * Fencing term; the worker refuses terms below the highest it has seen for
   * the pool.
   */
  readonly term: number;
  /**
   * Length of the lease in ms; the worker stops the task if the lease is not
   * renewed in time.
   */
  readonly leaseMs: number;
  /**
   * Boot number of the worker; the worker refuses the start if it has rebooted
   * since.
   */
  readonly bootNumber?: number;
  /**
   * Wall-clock time in ms since the epoch after which the worker refuses the
   * start.
   */
  readonly startBefore?: number;
  readonly size: JobSize;
  readonly input: string;
  readonly checkpoint?: string;
  readonly idempotent: boolean;
}
