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
  /** Never started; a stop of an unknown attempt forbids it to start later. */
  NotStarted = 'not-started',
}
