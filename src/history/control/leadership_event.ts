/** A member became the leader of a pool or ceased to be its leader. */
export interface LeadershipEvent {
  /** Time in ms, on a clock common to all members. */
  readonly at: number;
  readonly memberId: string;
  readonly pool: string;
  readonly term: number;
  /** Whether the leadership began (true) or ended (false). */
  readonly leads: boolean;
}
