/** Exit codes shared by all commands. */
export enum ExitCode {
  Done = 0,
  Failed = 1,
  BadInput = 2,
  OutcomeUnknown = 3,
}
