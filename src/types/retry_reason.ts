/**
 * Reasons for retrying a request or a task; every retry is counted under one of
 * them.
 */
export enum RetryReason {
  WorkerBusy = 'worker-busy',
  WorkerLeaving = 'worker-leaving',
  ConnectFailed = 'connect-failed',
  ConnectionLost = 'connection-lost',
  ConnectionSilent = 'connection-silent',
  Truncated = 'truncated',
  Mismatched = 'mismatched',
  WorkerFailed = 'worker-failed',
  TaskFailed = 'task-failed',
  TaskLost = 'task-lost',
  TaskNotStarted = 'task-not-started',
  TaskStopped = 'task-stopped',
}
