/** A member began or ceased to lead a pool. */
export interface LeadershipEvent {
  /** Time in ms on one clock for all members. */
  readonly at: number;
  readonly memberId: string;
  readonly pool: string;
  readonly term: number;
  /** True for the beginning, false for the end. */
  readonly leads: boolean;
}
