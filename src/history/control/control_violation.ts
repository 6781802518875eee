/** Rules that histories of leaders and revisions must keep. */
export enum ControlRule {
  OneLeaderAtATime = 'one-leader-at-a-time',
  OneLeaderPerTerm = 'one-leader-per-term',
  TermsIncrease = 'terms-grow',
  NoRevert = 'no-revert',
  OneChangePerRevision = 'one-change-per-revision',
  OneRevisionPerChange = 'one-revision-per-change',
  ActivatedEverywhere = 'in-force-in-time',
}

/** One break of a rule. */
export interface ControlViolation {
  readonly rule: ControlRule;
  readonly message: string;
}
