/** Policies for sharing a pool's slots among the entry hosts. */
export enum SlotPolicyKind {
  /** The pool's leader lends slots according to demand. */
  Lending = 'lending',
  /** Every entry host has a fixed, equal share. */
  StaticSplit = 'static-split',
  /**
   * Every entry host sends to the less utilized of two random workers, which
   * refuse requests when full.
   */
  TwoChoices = 'two-choices',
}
