/**
 * Assignment of a run to a host, with the progress that the host has reported.
 */
export interface Placement {
  readonly hostId: string;
  /** Unix time in ms at which the host started; 0 if unknown. */
  readonly bornAt: number;
  readonly address: string;
  readonly run: number;
  /** Whether a start order may have been sent, by this or an earlier leader. */
  isOrdered: boolean;
  /** Whether an earlier leader has placed the run. */
  isAdopted: boolean;
  /**
   * Whether the host has acknowledged the start order or listed the run in a
   * report.
   */
  confirmed: boolean;
  /**
   * Monotonic time in ms at which the start was first confirmed; that of the
   * order before.
   */
  confirmedAt: number;
  /** Whether the host has listed the run in a report. */
  listed: boolean;
  /** Whether a stop order was sent. */
  stopping: boolean;
  /**
   * Number of the last report that the host may have created before it
   * acknowledged the order.
   */
  lastUnsettledReport: number;
  /**
   * Monotonic time in ms at which the host acknowledged the stop order; 0
   * before.
   */
  stoppedAt: number;
  /**
   * Monotonic time in ms of the start order; that of the decision until the
   * placement is stored.
   */
  orderedAt: number;
  /**
   * Whether the run does the whole work of the task from `orderedAt` on; false
   * if it resumes from a checkpoint or an earlier leader ordered it.
   */
  readonly isWhole: boolean;
  /** Reported progress in percent. */
  percent: number;
  /** Monotonic time in ms at which its host last listed the run. */
  seenAt: number;
  /** Monotonic time in ms of the last change of `percent`. */
  progressedAt: number;
  /**
   * Tail latency in ms for serving tasks, processor use in thousandths for
   * others.
   */
  load: number;
  /**
   * Pace in percent that the run was last ordered to work at; -1 if unknown.
   */
  pace: number;
}
