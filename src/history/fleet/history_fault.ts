/** What a history of the fleet may not contain. */
export enum HistoryFault {
  /** The leader made a host unavailable although the budget was spent. */
  BudgetExceeded = 'budget-exceeded',
  /** A write was checked against a budget that was not in force. */
  UnknownBudget = 'unknown-budget',
  /** A host was counted or claimed by two pools. */
  TwoPools = 'two-pools',
  /** A host changed pool without a move in its pool's ledger. */
  UnannouncedMove = 'unannounced-move',
  /** A term fell, or changed hands without growing. */
  TermBroken = 'term-broken',
  /** A host went from one state to another that can't follow. */
  IllegalTransition = 'illegal-transition',
  /** A host rebooted although no ledger said so. */
  UnplannedReboot = 'unplanned-reboot',
}
