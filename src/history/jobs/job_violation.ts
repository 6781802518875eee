/** Violations that a history of jobs must not contain. */
export enum JobViolationKind {
  /** An accepted job has no record. */
  Lost = 'lost',
  /** A job is neither finished nor held. */
  Unfinished = 'unfinished',
  /** Two attempts of a job ran at the same time. */
  Overlap = 'overlap',
  /**
   * A non-idempotent job ran more than once without having been released by an
   * operator.
   */
  RanAgain = 'ran-again',
  /** One attempt ran more than once. */
  AttemptRepeated = 'attempt-repeated',
  /** A job is recorded as done but none of its runs completed. */
  FalseDone = 'false-done',
  /** The last run of a job completed, but the job is recorded as failed. */
  CompletionLost = 'forgotten',
  /** A job ran that was neither accepted nor recorded. */
  Unknown = 'unknown',
}

/** A violation and the job that it concerns. */
export interface JobViolation {
  readonly kind: JobViolationKind;
  readonly jobId: string;
  readonly detail: string;
}
