import {Loan} from '../../types';

/** A pool's loan at its borrower; times are monotonic, in ms. */
export interface HeldLoan {
  readonly loans: readonly Loan[];
  readonly term: number;
  readonly endsAt: number;
  /** True if the borrower wanted more than it got. */
  readonly contended: boolean;
}
