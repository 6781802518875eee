/** What is certain about a request or an attempt when it is answered. */
export enum Outcome {
  Run = 'run',
  NotRun = 'not-run',
  Unknown = 'unknown',
}
