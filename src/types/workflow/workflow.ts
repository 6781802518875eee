import {AdviceTimes} from './advice_times';
import {Step} from './step';

/** An accepted workflow: steps of tasks with dependencies; immutable. */
export interface Workflow {
  readonly id: string;
  readonly queue: string;
  /** Name of the organisation that submitted it; absent if there is none. */
  readonly organisation?: string;
  /** Pool whose hosts run the tasks. */
  readonly pool: string;
  /** Opaque text that is passed to every task. */
  readonly spec: string;
  readonly steps: readonly Step[];
  /** Number of times that the steps run. */
  readonly occurrences: number;
  /**
   * Unix time in ms at which the first occurrence is due; 0 for immediately.
   */
  readonly firstAt: number;
  /** Interval between occurrences in ms. */
  readonly intervalMs: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs of a task after which the workflow fails. */
  readonly maxAttempts: number;
  /** Latency objective as a multiple of the critical path's run time. */
  readonly stretch: number;
  /** Constant part of the latency objective, in ms. */
  readonly targetDurationMs: number;
  /**
   * Timing of the advice service; set if only hosts that it approves may run
   * the steps.
   */
  readonly advice?: AdviceTimes;
  /** Unix time in ms at which the workflow was accepted. */
  readonly acceptedAt: number;
}
