import {Host} from '../../types';

/** A worker that could take a request now. */
export interface WorkerCandidate {
  readonly host: Host;
  /** Slots that this entry host may use there. */
  readonly slots: number;
  /** Requests of this entry host that run there. */
  readonly used: number;
  /** Recent latency over the pool's; 1 is typical. */
  readonly relativeLatency: number;
}
