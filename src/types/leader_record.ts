/** Claim of a pool's leadership, stored at leaders/POOL under the member's lease. */
export interface LeaderRecord {
  readonly pool: string;
  readonly memberId: string;
  /** Lease under which the claim was made; a claim under an earlier one is void. */
  readonly leaseId: string;
  /** Unique id of the attempt, by which a lost answer is resolved. */
  readonly electionId: string;
  /** Wall-clock time of the election in ms since the epoch. */
  readonly since: number;
}
