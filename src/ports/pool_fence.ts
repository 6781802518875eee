import {TaskName} from './task_name';

/** A leader's term for a pool, below which a worker refuses every call. */
export interface PoolFence {
  readonly pool: string;
  readonly term: number;
  /** Attempts whose leases start anew. */
  readonly renew: readonly TaskName[];
}
