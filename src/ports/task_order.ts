/** What a leader may ask of a running task. */
export enum TaskOrder {
  Renew = 'renew',
  Throttle = 'throttle',
  Unthrottle = 'unthrottle',
  Checkpoint = 'checkpoint',
  Stop = 'stop',
  /** Forget a finished task whose end is recorded. */
  Release = 'release',
}
