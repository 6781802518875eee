/** Outcome of a write to the store, as far as it is certain. */
export enum WriteOutcome {
  Written = 'written',
  Conflict = 'conflict',
  /** Not written: the store was unreachable or rejected the write. */
  Unavailable = 'unavailable',
  /**
   * The answer was lost and reading the key back did not settle whether the
   * write took effect.
   */
  Unknown = 'unknown',
}
