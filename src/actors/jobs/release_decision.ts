/** Decision of an operator on a held job. */
export enum ReleaseDecision {
  /** The job is run again. */
  Rerun = 'rerun',
  /** The job is marked as failed. */
  Fail = 'fail',
}
