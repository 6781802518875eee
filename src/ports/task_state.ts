/** State of a task according to its worker. */
export enum TaskState {
  Running = 'running',
  Throttled = 'throttled',
  Done = 'done',
  Failed = 'failed',
  Checkpointed = 'checkpointed',
  Stopped = 'stopped',
  /** The lease was not renewed in time; the worker stopped the task. */
  LeaseExpired = 'lapsed',
  /**
   * Not started and never will be: stopping an unknown attempt prevents a later
   * start.
   */
  NotStarted = 'not-started',
}
