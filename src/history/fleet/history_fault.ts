/** Faults that a history of the fleet must not contain. */
export enum HistoryFault {
  /**
   * The leader made a host unavailable although the availability budget was
   * exhausted.
   */
  BudgetExceeded = 'budget-exceeded',
  /** A write was checked against a budget that was not active. */
  UnknownBudget = 'unknown-budget',
  /**
   * A pool's leader made a host unavailable that is assigned to another pool.
   */
  TwoPools = 'two-pools',
  /** A host changed pool without a move in its pool's ledger. */
  UnannouncedMove = 'unannounced-move',
  /**
   * A term decreased, or the leader changed without an increase of the term.
   */
  TermNotIncreased = 'term-broken',
  /** A host changed to a state that is not allowed after its previous one. */
  IllegalTransition = 'illegal-transition',
  /** A host rebooted without a reboot order in the ledger of its pool. */
  UnplannedReboot = 'unplanned-reboot',
}
