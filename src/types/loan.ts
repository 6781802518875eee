/** Slots of a worker that an entry host may use until the loan expires. */
export interface Loan {
  readonly hostId: string;
  readonly slots: number;
  /**
   * Term of the leader that lent the slots; 0 for a static split, which needs
   * no leader.
   */
  readonly term: number;
  /** Expiry of the loan on the borrower's monotonic clock, in ms. */
  readonly endsAt: number;
}
