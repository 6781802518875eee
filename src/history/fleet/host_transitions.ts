import {HostState} from '../../types';

const {Active, Draining, Rebooting, Failed} = HostState;
const {Quarantined, Missing, Moving, Leaving} = HostState;
const LOST_STATES = [Failed, Missing, Leaving];

/**
 * Allowed next states of a host for each state; hosts that are not in a ledger
 * are active.
 */
export const HOST_TRANSITIONS: Readonly<
  Record<HostState, readonly HostState[]>
> = {
  [Active]: [Draining, Moving, Quarantined, ...LOST_STATES],
  [Draining]: [Active, Rebooting, Quarantined, ...LOST_STATES],
  [Rebooting]: [Active, Failed, Quarantined],
  [Moving]: [Active, Quarantined, ...LOST_STATES],
  [Quarantined]: [Active],
  [Failed]: [Active, Quarantined, Missing, Leaving],
  [Missing]: [Active, Quarantined, Leaving],
  [Leaving]: [Active, Quarantined],
};
