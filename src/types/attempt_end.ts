/** How an attempt of a job ended. */
export enum AttemptEnd {
  Done = 'done',
  Failed = 'failed',
  Checkpointed = 'checkpointed',
  Stopped = 'stopped',
  /** The lease lapsed or the worker rebooted; how far the task came is unknown. */
  Lost = 'lost',
  /** The worker never started the attempt and never will. */
  NotStarted = 'not-started',
}
