/** Claim of a pool's leadership, stored at leaders/POOL under the member's lease. */
export interface LeaderRecord {
  readonly pool: string;
  readonly memberId: string;
  /** Wall-clock time of the election in ms since the epoch. */
  readonly since: number;
}
