import {Host} from './host';
import {HostState} from './host_state';

/** A host with its state in its pool. */
export interface PoolHost {
  readonly host: Host;
  readonly state: HostState;
}
