import {HostState} from './host_state';

/** One host that a pool can't use now; each entry consumes one unit of the availability budget. */
export interface Unavailability {
  readonly hostId: string;
  readonly state: Exclude<HostState, HostState.Active>;
  /** Start of the unavailability in ms since the epoch. */
  readonly since: number;
  /** Wave that drains the host, if one does. */
  readonly waveId?: string;
  readonly cause: string;
}
