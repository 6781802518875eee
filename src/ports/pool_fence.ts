import {AttemptId} from './attempt_id';

/**
 * Fencing term of a pool's leader; a worker that has received it refuses calls
 * with lower terms.
 */
export interface PoolFence {
  readonly pool: string;
  readonly term: number;
  /** Attempts whose leases are renewed. */
  readonly renew: readonly AttemptId[];
}
