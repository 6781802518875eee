import {Queue} from './queue';
import {Pool} from './pool';

/** The operator's configuration of queues and pools. */
export interface FleetConfiguration {
  /** Grows with every change. */
  readonly version: number;
  readonly queues: readonly Queue[];
  /** Pools by name. */
  readonly pools: ReadonlyMap<string, Pool>;
}
