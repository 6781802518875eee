import {RunOrder} from './run_order';

/** Order to start a run of a task. */
export interface StartOrder extends RunOrder {
  /** Opaque text of the workflow. */
  readonly spec: string;
  /** Time on the host's clock in ms at which the lease expires. */
  readonly untilMs: number;
  /** Checkpoint to resume from; empty if there is none. */
  readonly checkpoint: string;
  /**
   * Permission issued by the advice service; empty if the queue does not
   * require one.
   */
  readonly ticket: string;
}
