/** Life cycle of a long job. */
export enum JobState {
  Waiting = 'waiting',
  Starting = 'starting',
  Running = 'running',
  Checkpointed = 'checkpointed',
  Done = 'done',
  Failed = 'failed',
  Cancelled = 'cancelled',
  Held = 'held',
}
