import {WorkerChoice} from '../../decisions/requests';
import {Loan} from '../../types';

/** Strategy by which entry hosts share the slots of a pool. */
export interface SlotSharing {
  /** Returns the slots that this entry host may currently use. */
  getLoans(pool: string): readonly Loan[];
  /**
   * Returns the number of slots that are guaranteed even while all entry hosts
   * are loaded.
   */
  getGuaranteedSlots(pool: string): number;
  /** Requests more slots because a request is waiting for one. */
  requestSlots(pool: string): void;
  readonly chooseWorker: WorkerChoice;
}
