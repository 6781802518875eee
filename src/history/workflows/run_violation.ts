/** Violations of guarantees about task runs and machine orders. */
export enum RunViolationKind {
  /** Two runs of a task overlapped. */
  Overlap = 'overlap',
  /** A run started after a completed run of the task was acknowledged. */
  RanAgain = 'ran-again',
  /** A completed run was acknowledged that the store does not hold as done. */
  NotStored = 'not-stored',
  /** A run started before all tasks of the preceding steps were done. */
  TooEarly = 'too-early',
  /** A run started after the maximum number of attempts had failed. */
  TooManyAttempts = 'over-budget',
  /** A run started for a workflow that was cancelled or never submitted. */
  NotRequested = 'unasked',
  /**
   * A run started on a host of another pool, without the required label, or
   * above the limit per host.
   */
  WrongHost = 'wrong-host',
  /**
   * A run started on a host too long after it had announced that it is leaving.
   */
  OnLeavingHost = 'on-leaving',
  /** A run exceeded the capacity of its host. */
  OverCapacity = 'overfull',
  /** A task of a gang was started without the other tasks of the gang. */
  IncompleteGang = 'alone',
  /**
   * An order has ended a serving task while as many others of its step as
   * allowed were unavailable.
   */
  Unavailable = 'unavailable',
  /**
   * An order of another holder for a machine did not have a higher fencing
   * token.
   */
  StaleFencingToken = 'old-holder',
  /** Orders of two holders for a machine followed each other too closely. */
  HoldersTooClose = 'holders-race',
}

/** A violation and the run or order that it concerns. */
export interface RunViolation {
  readonly kind: RunViolationKind;
  readonly subject: string;
  /** Monotonic time in ms. */
  readonly at: number;
}
