/**
 * Whether a request or an attempt was run, as far as it is certain when
 * answering.
 */
export enum Outcome {
  Run = 'run',
  NotRun = 'not-run',
  Unknown = 'unknown',
}
