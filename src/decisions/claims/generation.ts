import {ClaimEvent} from './claim_event';

/** A segment of a partition's event log, stored at claims/PARTITION/NUMBER. */
export interface Generation {
  readonly number: number;
  /** Fencing term of the owner that last wrote it. */
  readonly term: number;
  readonly owner: string;
  /**
   * Unique per write, so that reading it back shows whether a write succeeded.
   */
  readonly operationId: string;
  /** Wall-clock times of the first and last write, in ms since the epoch. */
  readonly openedAt: number;
  readonly writtenAt: number;
  /** Whether the generation is closed; further events go to the next one. */
  readonly sealed: boolean;
  readonly events: readonly ClaimEvent[];
}
