import {AdviceTimes} from './advice_times';

/** A queue of workflows, as configured by the operator. */
export interface Queue {
  readonly name: string;
  readonly pool: string;
  /** Host name that callers address. */
  readonly authority: string;
  /** Path prefix of the queue's requests. */
  readonly prefix: string;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Whether callers need no key and its workflows belong to no organisation. */
  readonly isPublic: boolean;
  /** Number of failed runs of a task after which its workflow fails. */
  readonly maxAttempts: number;
  /** Latency objective as a multiple of the critical path's run time. */
  readonly stretch: number;
  /** Constant part of the latency objective, in ms. */
  readonly targetDurationMs: number;
  /**
   * Timing of the advice service; set if only hosts that it approves may run
   * the queue's steps.
   */
  readonly advice: AdviceTimes | undefined;
}
