/** Slots of one worker that an entry host may use until the loan ends. */
export interface Loan {
  readonly hostId: string;
  readonly slots: number;
  /** Term of the leader that lent the slots; 0 for a split without a leader. */
  readonly term: number;
  /** End of the loan on the borrower's monotonic clock, in ms. */
  readonly endsAt: number;
}
