import {Rank} from './rank';

/** What an operator promises a service; times are in milliseconds. */
export interface Profile {
  readonly name: string;
  readonly pool: string;
  /** Services that run under this profile. */
  readonly services: readonly string[];
  /** Hosts that the services may count on. */
  readonly hosts: number;
  /** Hosts that may be unavailable at once, for whatever cause. */
  readonly maxUnavailable: number;
  readonly rank: Rank;
  /** Deadline of an interactive request that states none. */
  readonly deadlineMs: number;
  /** Requests that may wait at one entry host at once. */
  readonly queueLimit: number;
  /** Longest wait of interactive work for slots that long work holds. */
  readonly preemptionMs: number;
  /** Whether a request that doesn't say so may be run again. */
  readonly idempotent: boolean;
  /** Share of the pool's slots, 0 to 1, that each team may hold under contention. */
  readonly teamQuotas: Readonly<Record<string, number>>;
  /** Share of the pool's slots, 0 to 1, that long work keeps under contention. */
  readonly longWorkMinimum: number;
  /** Longest time between two maintenances of a host; 0 plans none by itself. */
  readonly maintenanceIntervalMs: number;
  /** True for the pool that lends hosts to others. */
  readonly spare: boolean;
}
