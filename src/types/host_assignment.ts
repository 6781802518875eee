/** The one value that says which pool a host belongs to; stored at hosts/ID. */
export interface HostAssignment {
  readonly hostId: string;
  readonly pool: string;
  /** Wall-clock time of the last finished maintenance, in ms since the epoch; 0 if none is known. */
  readonly lastMaintainedAt: number;
  /** Active waves that this host has already been through. */
  readonly completedWaves: readonly string[];
}
