import {Loan, PoolHost} from '../../types';

/** What a slot policy rests on. */
export interface SlotInputs {
  readonly hosts: readonly PoolHost[];
  /** Ids of the entry hosts that share the pool, in order. */
  readonly memberIds: readonly string[];
  readonly memberId: string;
}

/** Decides which slots of a pool an entry host may use. */
export type SlotPolicy = (inputs: SlotInputs) => readonly Loan[];
