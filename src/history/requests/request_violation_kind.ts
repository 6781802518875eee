/** Ways in which a history can break a promise to callers. */
export enum RequestViolationKind {
  /** A non-idempotent request ran more than once. */
  Doubled = 'doubled',
  /** A request was reported as not run, but ran. */
  FalseNotRun = 'false-not-run',
  /** A request was reported as run, but none of its key ran. */
  FalseRun = 'false-run',
  /** A caller got the answer to another request. */
  WrongAnswer = 'wrong-answer',
  /** A cut answer passed as complete. */
  CutAnswer = 'cut-answer',
  /** A caller got more than one answer to one attempt. */
  ManyAnswers = 'many-answers',
}
