import {Loan, PoolHost} from '../../types';

/** Inputs of a slot policy. */
export interface SlotInputs {
  readonly hosts: readonly PoolHost[];
  /**
   * Ids of the entry hosts that share the pool, in the same order at each of
   * them.
   */
  readonly memberIds: readonly string[];
  /** Id of the entry host that the slots are for. */
  readonly memberId: string;
}

/** Decides which slots of a pool an entry host may use. */
export type SlotPolicy = (inputs: SlotInputs) => readonly Loan[];
