/** Rules for histories of leadership and of configuration revisions. */
export enum ControlRule {
  /** A pool has at most one leader at a time. */
  OneLeaderAtATime = 'one-leader-at-a-time',
  /** A term has only one leader. */
  OneLeaderPerTerm = 'one-leader-per-term',
  /** Each new leadership has a higher term than all earlier ones. */
  TermsIncrease = 'terms-grow',
  /** An incarnation of a member never goes back to an older revision. */
  NoRevert = 'no-revert',
  /** A revision corresponds to only one change. */
  OneChangePerRevision = 'one-change-per-revision',
  /** A change is accepted as only one revision. */
  OneRevisionPerChange = 'one-revision-per-change',
  /** The latest accepted revision is active at every member at the end. */
  ActivatedEverywhere = 'in-force-in-time',
}

/** A violation of a rule. */
export interface ControlViolation {
  readonly rule: ControlRule;
  readonly message: string;
}
