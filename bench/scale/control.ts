import {measureControlDecisions} from './control_decisions';
import {measureRelays} from './control_members';
import {ScaleProbe} from './slope';

/** Measures how the costs of membership, leadership and configuration grow. */
export const probeControl: ScaleProbe = async quick => [
  ...measureControlDecisions(quick),
  ...(await measureRelays(quick)),
];
