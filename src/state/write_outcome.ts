/** What is certain about a write to the store. */
export enum WriteOutcome {
  Written = 'written',
  Conflict = 'conflict',
  /** Certainly not written: the store could not be reached. */
  Unavailable = 'unavailable',
  /** The answer was lost and reading back failed too. */
  Unknown = 'unknown',
}
