import {ActorSystemRef} from 'nact';
import {Store, Workers} from '../../ports';
import {Telemetry} from '../../telemetry';
import {PoolHost, Profile} from '../../types';
import {PoolSlots} from '../slots';

/** Options for the jobs actor of a pool. */
export interface PoolJobsOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly pool: string;
  /** Term under which this member leads the pool. */
  readonly term: number;
  readonly getHosts: () => readonly PoolHost[];
  /** Ledger of the pool's slots, shared with interactive requests. */
  readonly slots: PoolSlots;
  /**
   * Returns the pool's profile in the active configuration, if there is one.
   */
  readonly getProfile: () => Profile | undefined;
  /**
   * Returns hosts that will be drained next; they get new jobs only if no other
   * host has capacity.
   */
  readonly getNextDrains?: () => ReadonlySet<string>;
  /**
   * Called once for each worker that is found to fail jobs which others
   * complete.
   */
  readonly onSuspect?: (hostId: string, cause: string) => void;
  /** Called if the actor fails again and again; the term should then end. */
  readonly onFailing?: () => void;
  /** Retention time of finished jobs, in ms. */
  readonly retentionMs?: number;
}
