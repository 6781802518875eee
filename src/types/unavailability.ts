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
  /** Boot that the ordered reboot ends; the worker ignores the order in any other. */
  readonly bootNumber?: number;
  /** Time of the order to reboot in ms since the epoch. */
  readonly rebootAt?: number;
  /** Pool that takes the host over, for a move. */
  readonly movesTo?: string;
}
