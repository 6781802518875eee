import {Loan} from '../../types';

/**
 * A loan of a pool's slots as held by its borrower; times are monotonic, in ms.
 */
export interface HeldLoan {
  readonly loans: readonly Loan[];
  readonly term: number;
  readonly endsAt: number;
  /** Whether the borrower was lent fewer slots than it demanded. */
  readonly contended: boolean;
}
