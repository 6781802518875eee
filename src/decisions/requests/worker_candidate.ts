import {Host} from '../../types';

/** A worker with a free slot. */
export interface WorkerCandidate {
  readonly host: Host;
  /** Number of its slots that this entry host may use. */
  readonly slots: number;
  /** Number of requests of this entry host that it is running. */
  readonly used: number;
  /** Ratio of its recent latency to the pool's; 1 is typical. */
  readonly relativeLatency: number;
}
