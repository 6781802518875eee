/** What an operator decides about a held job. */
export enum ReleaseDecision {
  /** It may run again. */
  Rerun = 'rerun',
  /** It is given up as failed. */
  Fail = 'fail',
}
