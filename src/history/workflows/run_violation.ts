/** A promise about runs of tasks that a history breaks. */
export enum RunViolationKind {
  /** Two runs of a task at the same time. */
  Overlap = 'overlap',
  /** A run after one that was done and acknowledged. */
  RanAgain = 'ran-again',
  /** A run before all tasks of an earlier step were done. */
  TooEarly = 'too-early',
  /** A run after as many failed ones as are allowed. */
  TooManyAttempts = 'over-budget',
  /** A run of a workflow that was cancelled or never submitted. */
  NotRequested = 'unasked',
  /** A run on a host of another pool, without the label it needs, or beyond the limit per host. */
  WrongHost = 'wrong-host',
  /** A run on a host that announced long before that it leaves. */
  OnLeavingHost = 'on-leaving',
  /** A run that brought its host over its capacity. */
  OverCapacity = 'overfull',
  /** A member of a gang whose others were never started. */
  IncompleteGang = 'alone',
  /** An order for a machine under a lower fencing token than an earlier one. */
  StaleFencingToken = 'old-holder',
  /** Orders of two holders for a machine too soon after each other. */
  HoldersTooClose = 'holders-race',
}

/** One broken promise, with what shows it. */
export interface RunViolation {
  readonly kind: RunViolationKind;
  readonly subject: string;
  /** Steady time in ms. */
  readonly at: number;
}
