import {Host} from './host';
import {HostState} from './host_state';

/** A host with what its pool knows of it. */
export interface PoolHost {
  readonly host: Host;
  readonly state: HostState;
}
