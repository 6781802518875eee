import {createLeaderProbe} from './control_decisions';
import {measureMembers} from './control_members';
import {ScaleProbe} from './slope';

/** Measures how the costs of membership, leadership and configuration grow. */
export const probeControl: ScaleProbe = async quick => [
  ...createLeaderProbe(quick),
  ...(await measureMembers(quick)),
];
