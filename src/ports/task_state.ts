/** State of a job's task at its worker. */
export enum TaskState {
  Running = 'running',
  Throttled = 'throttled',
  Done = 'done',
  Failed = 'failed',
  Checkpointed = 'checkpointed',
  Stopped = 'stopped',
  /** The lease was not renewed in time; the worker stopped the task. */
  Lapsed = 'lapsed',
}
