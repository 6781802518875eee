/** Stored progress of a step in one occurrence of its workflow. */
export interface StoredGroup {
  /** Number of the last run of each task. */
  readonly runs: readonly number[];
  /** Indexes of the tasks that are done. */
  readonly done: readonly number[];
  /** Number of failed runs of each task; absent if no run failed. */
  readonly failures?: readonly number[];
  /**
   * Number of crashes of hosts that each task may have caused; absent if there
   * was none.
   */
  readonly crashes?: readonly number[];
  /**
   * Number of crashes for which each task was the only possible cause; absent if
   * there was none.
   */
  readonly ownCrashes?: readonly number[];
  /** Last checkpoint by index of an unfinished task. */
  readonly checkpoints?: Readonly<Record<number, string>>;
  /** `hostId|bornAt|address` by index of a placed task. */
  readonly placements?: Readonly<Record<number, string>>;
}

/**
 * Stored progress of an unfinished workflow, for the next leader: groups by
 * `occurrence.step`.
 */
export type StoredProgress = Readonly<Record<string, StoredGroup>>;
