/**
 * State of an attempt whose worker does not respond; times are monotonic, in
 * ms.
 */
export interface LeaseObservation {
  readonly now: number;
  /** Time at which this leader first saw the attempt. */
  readonly firstSeenAt: number;
  /**
   * Time of the last call of this leader that may have started the attempt or
   * renewed its lease.
   */
  readonly renewedAt: number;
  /** Whether a leader of an earlier term started it. */
  readonly inherited: boolean;
}

/** Duration of a task's lease at its worker. */
export const TASK_LEASE_MS = 12_000;

/** Time after a start request within which a worker may accept it. */
export const START_WINDOW_MS = 2_000;

/**
 * Maximum time for which a leader without a connection to the store keeps
 * renewing leases.
 */
export const OUTAGE_RENEWAL_MS = 600_000;

/** Safety margin added to the lease and the start window. */
const SAFETY_MARGIN_MS = 1_000;

/**
 * Returns whether the lease of an attempt has definitely expired at a worker
 * that does not respond.
 *
 * An earlier leader may have renewed the lease after it lost the store, without
 * this leader knowing, so inherited attempts take longer.
 *
 * @param observation state of the attempt
 */
export function hasLeaseExpired(observation: LeaseObservation): boolean {
  const {now, firstSeenAt, renewedAt, inherited} = observation;
  const since = Math.max(firstSeenAt, renewedAt);
  const wait = TASK_LEASE_MS + START_WINDOW_MS + SAFETY_MARGIN_MS;
  return now - since > (inherited ? wait + OUTAGE_RENEWAL_MS : wait);
}
