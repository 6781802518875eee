/** Identifies a run of a task in an order to its host. */
export interface RunOrder {
  readonly task: string;
  readonly run: number;
  /** Fencing token of the leader. */
  readonly fence: number;
}
