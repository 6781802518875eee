/** Orders that a leader may give for a task. */
export enum TaskOrder {
  Renew = 'renew',
  Throttle = 'throttle',
  Unthrottle = 'unthrottle',
  Checkpoint = 'checkpoint',
  Stop = 'stop',
  /** Discard a finished task whose end has been recorded. */
  Release = 'release',
}
