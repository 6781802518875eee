import {WorkerChoice} from '../../decisions/requests';
import {Loan} from '../../types';

/** How an entry host shares a pool's slots with the others. */
export interface SlotSharing {
  /** Returns the slots that this entry host may use now. */
  getLoans(pool: string): readonly Loan[];
  /** Returns the slots that it may count on while every entry host asks. */
  getShare(pool: string): number;
  /** Says that a request waits for a slot. */
  hurry(pool: string): void;
  readonly chooseWorker: WorkerChoice;
}
