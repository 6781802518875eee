/** An entry host's membership record, stored at members/ID under its lease. */
export interface Member {
  readonly id: string;
  readonly availabilityZone: string;
  readonly address: string;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
  /** Start time of the process in ms since the epoch. */
  readonly startedAt: number;
  /** Whether a planned stop has begun. */
  readonly leaving: boolean;
}
