import {Organisation} from './organisation';
import {Pool} from './pool';
import {Queue} from './queue';

/** The operator's configuration of queues and pools. */
export interface FleetConfiguration {
  /** Grows with every change. */
  readonly version: number;
  readonly queues: readonly Queue[];
  /** Pools by name. */
  readonly pools: ReadonlyMap<string, Pool>;
  /** Organisations by name; empty if callers need no key. */
  readonly organisations: ReadonlyMap<string, Organisation>;
  /** Organisations by the digests of their keys. */
  readonly organisationsByKey: ReadonlyMap<string, Organisation>;
}
