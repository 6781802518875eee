import {Capacity} from './capacity';

/**
 * An incarnation of a host that runs tasks, as registered by itself; a restart
 * creates a new incarnation.
 */
export interface TaskHost {
  /** Id of the incarnation; a restarted host may reuse it. */
  readonly id: string;
  /** Unix time in ms at which the incarnation started; 0 if unknown. */
  readonly bornAt: number;
  readonly pool: string;
  readonly address: string;
  readonly availabilityZone: string;
  /** Id of the machine on which the host runs; empty if unknown. */
  readonly machine: string;
  readonly labels: readonly string[];
  readonly rack: string;
  readonly capacity: Capacity;
  readonly draining: boolean;
  /** Remaining warm-up time in ms, during which the host is slow. */
  readonly coldMs: number;
}
