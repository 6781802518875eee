/**
 * Timing of the advice service, which decides which hosts may run a step; in
 * ms.
 */
export interface AdviceTimes {
  readonly decideMs: number;
  readonly eachHostMs: number;
  /** Validity of a ticket. */
  readonly validMs: number;
}
