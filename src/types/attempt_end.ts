/** How an attempt of a job ended. */
export enum AttemptEnd {
  Done = 'done',
  Failed = 'failed',
  Checkpointed = 'checkpointed',
  Stopped = 'stopped',
  /**
   * The lease expired or the worker rebooted; the task's progress is unknown.
   */
  Lost = 'lost',
  /**
   * The worker did not start the attempt and has been ordered never to start
   * it.
   */
  NotStarted = 'not-started',
}
