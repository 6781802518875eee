import {ClaimEvent} from './claim_event';

/** A stored piece of a partition's history, at claims/PARTITION/NUMBER. */
export interface Generation {
  readonly number: number;
  /** Fencing term of the owner that wrote it last. */
  readonly term: number;
  readonly owner: string;
  /** Differs with each write, so that reading back proves a write. */
  readonly operationId: string;
  /** Wall-clock times of the first and last write, in ms since the epoch. */
  readonly openedAt: number;
  readonly writtenAt: number;
  /** True if no further event may be added: the next generation follows. */
  readonly sealed: boolean;
  readonly events: readonly ClaimEvent[];
}
