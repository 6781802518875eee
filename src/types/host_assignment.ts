/** Authoritative assignment of a host to a pool, stored at hosts/ID. */
export interface HostAssignment {
  readonly hostId: string;
  readonly pool: string;
  /**
   * Wall-clock time of the last finished maintenance, in ms since the epoch; 0
   * if none is known.
   */
  readonly lastMaintainedAt: number;
  /** Ids of the active waves that have already serviced this host. */
  readonly completedWaves: readonly string[];
  /** Unique id of the write, which makes every written value distinct. */
  readonly operationId?: string;
  /** Time at which the host first joined a pool, in ms since the epoch. */
  readonly adoptedAt?: number;
  /** Time of the last move between pools, in ms since the epoch. */
  readonly movedAt?: number;
  /** Pool that the host belonged to before its last move. */
  readonly movedFrom?: string;
  /** Duration of the last drain and reboot, in ms. */
  readonly maintenanceMs?: number;
  /**
   * Time at which an operator released the host from quarantine, in ms since
   * the epoch.
   */
  readonly releasedAt?: number;
}
