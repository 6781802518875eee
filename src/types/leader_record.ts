/**
 * Record of a pool's leader, stored at leaders/POOL under the member's lease.
 */
export interface LeaderRecord {
  readonly pool: string;
  readonly memberId: string;
  /**
   * Lease under which the record was written; records under an earlier lease
   * are invalid.
   */
  readonly leaseId: string;
  /** Unique id of the election attempt, by which a lost answer is resolved. */
  readonly electionId: string;
  /** Wall-clock time of the election in ms since the epoch. */
  readonly since: number;
}
