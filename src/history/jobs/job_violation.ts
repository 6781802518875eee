/** What a history of jobs must not contain. */
export enum JobViolationKind {
  /** An accepted job has no record. */
  Lost = 'lost',
  /** A job is neither finished nor held. */
  Unfinished = 'unfinished',
  /** Two attempts of a job ran at the same time. */
  Overlap = 'overlap',
  /** A job that may run only once ran again. */
  RanAgain = 'ran-again',
  /** One attempt ran more than once. */
  AttemptRepeated = 'attempt-repeated',
  /** A job is recorded as done but none of its runs completed. */
  FalseDone = 'false-done',
  /** A job completed at a worker, once and last, but is not recorded as done. */
  Forgotten = 'forgotten',
  /** A job ran that was never accepted nor recorded. */
  Unknown = 'unknown',
}

/** One violation with the job that it is about. */
export interface JobViolation {
  readonly kind: JobViolationKind;
  readonly jobId: string;
  readonly detail: string;
}
