/** What is stored of a step in one occurrence. */
export interface StoredGroup {
  /** Number of the last run by task. */
  readonly runs: readonly number[];
  /** Tasks that are done. */
  readonly done: readonly number[];
  readonly failures?: readonly number[];
  readonly checkpoints?: Readonly<Record<number, string>>;
  /** `host|birth|address` by task that is placed. */
  readonly placements?: Readonly<Record<number, string>>;
}

/** What the next leader reads of a workflow that hasn't ended: its groups by `occurrence.step`. */
export type StoredProgress = Readonly<Record<string, StoredGroup>>;
