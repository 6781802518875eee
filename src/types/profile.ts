import {Rank} from './rank';

/**
 * Capacity and service levels that an operator assigns to services; times are
 * in milliseconds.
 */
export interface Profile {
  readonly name: string;
  readonly pool: string;
  /** Services that run under this profile. */
  readonly services: readonly string[];
  /** Number of hosts guaranteed to the services. */
  readonly hosts: number;
  /**
   * Maximum number of hosts that may be unavailable at once, whatever the
   * cause.
   */
  readonly maxUnavailable: number;
  readonly rank: Rank;
  /** Default deadline of an interactive request. */
  readonly deadlineMs: number;
  /** Maximum number of requests queued at one entry host. */
  readonly queueLimit: number;
  /**
   * Maximum time that interactive work waits for slots held by long-running
   * work.
   */
  readonly preemptionMs: number;
  /**
   * Whether requests are idempotent, and so may be run again, unless they state
   * otherwise.
   */
  readonly idempotent: boolean;
  /**
   * Share of the pool's slots, 0 to 1, that each team may occupy under
   * contention.
   */
  readonly teamQuotas: Readonly<Record<string, number>>;
  /**
   * Share of the pool's slots, 0 to 1, that is reserved for long-running work
   * under contention.
   */
  readonly longWorkMinimum: number;
  /**
   * Maximum time between two maintenances of a host; 0 disables automatic
   * planning.
   */
  readonly maintenanceIntervalMs: number;
  /** Whether this is the spare pool, which lends hosts to other pools. */
  readonly spare: boolean;
}
