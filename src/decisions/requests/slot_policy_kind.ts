/** Ways of sharing a pool's slots between the entry hosts. */
export enum SlotPolicyKind {
  /** The pool's leader lends slots by demand. */
  Lending = 'lending',
  /** Every entry host has an equal share. */
  StaticSplit = 'static-split',
  /** Every entry host picks the better of two workers, which refuse when full. */
  TwoChoices = 'two-choices',
}
