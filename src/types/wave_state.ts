/** State of a maintenance wave. */
export enum WaveState {
  Active = 'active',
  Paused = 'paused',
  Done = 'done',
  Cancelled = 'cancelled',
}
