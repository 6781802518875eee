/** Violations of guarantees to callers. */
export enum RequestViolationKind {
  /** A non-idempotent request ran more than once. */
  DuplicateRun = 'doubled',
  /** A request was reported as not run, although it ran. */
  FalseNotRun = 'false-not-run',
  /**
   * A request was reported as run, although no request with its id or key ran.
   */
  FalseRun = 'false-run',
  /** A caller received the answer to another request. */
  WrongAnswer = 'wrong-answer',
  /** A truncated answer was reported as complete. */
  TruncatedAnswer = 'cut-answer',
  /** A caller received more than one answer to one attempt. */
  DuplicateAnswer = 'many-answers',
}
