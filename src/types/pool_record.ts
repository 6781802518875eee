import {Unavailability} from './unavailability';

/**
 * A pool's record, stored at pools/NAME and written only by its leader under a
 * fencing term.
 */
export interface PoolRecord {
  readonly pool: string;
  /** Fencing term; grows by one with every change of leader. */
  readonly term: number;
  readonly leader: string;
  /**
   * Id of the election that assigned the term; distinguishes two attempts at
   * the same term.
   */
  readonly electionId?: string;
  /**
   * Unavailable hosts, each of which counts against the availability budget.
   */
  readonly unavailable: readonly Unavailability[];
  /**
   * Sequence number of the write within its term, which makes every written
   * value distinct.
   */
  readonly sequence?: number;
  /** Availability budget against which the last write was checked. */
  readonly budget?: number;
}
