/** A run that a host reports as running. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  /** Last checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /**
   * Progress in percent; 100 for a long-running service task that is serving.
   */
  readonly percent: number;
  /**
   * Tail latency in ms for a service task, otherwise processor usage in
   * thousandths.
   */
  readonly load: number;
}
