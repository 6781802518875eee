import {Unavailability} from './unavailability';

/** A pool's fenced record, stored at pools/NAME and written only by its leader. */
export interface PoolRecord {
  readonly pool: string;
  /** Fencing term; grows by one with every change of leader. */
  readonly term: number;
  readonly leader: string;
  /** Election that gave the term; tells two attempts at one term apart. */
  readonly electionId?: string;
  /** Budget ledger: everything that makes a host unavailable. */
  readonly unavailable: readonly Unavailability[];
  /** Number of the write within its term, so that no two writes are alike. */
  readonly sequence?: number;
  /** Budget that the last write was checked against. */
  readonly budget?: number;
}
