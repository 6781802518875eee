import {HostState} from './host_state';

/**
 * A host that its pool cannot use; each entry consumes one unit of the
 * availability budget.
 */
export interface Unavailability {
  readonly hostId: string;
  readonly state: Exclude<HostState, HostState.Active>;
  /** Start time of the unavailability in ms since the epoch. */
  readonly since: number;
  /** Id of the maintenance wave that drains the host, if any. */
  readonly waveId?: string;
  readonly cause: string;
  /**
   * Boot number for which the reboot was ordered; the worker ignores the order
   * if it has rebooted since.
   */
  readonly bootNumber?: number;
  /** Time at which the reboot was ordered, in ms since the epoch. */
  readonly rebootAt?: number;
  /** Destination pool, if the host is moving. */
  readonly movesTo?: string;
}
