import {ActorSystemRef} from 'nact';
import {Store, Workers} from '../../ports';
import {Telemetry} from '../../telemetry';
import {PoolHost, Profile} from '../../types';
import {PoolSlots} from '../slots';

/** Where the keeper of a pool's jobs gets what it needs. */
export interface PoolJobsOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly pool: string;
  /** Term under which this member leads the pool. */
  readonly term: number;
  readonly getHosts: () => readonly PoolHost[];
  /** Ledger of the pool's slots, shared with interactive work. */
  readonly slots: PoolSlots;
  /** Returns the pool's profile in force, if there is one. */
  readonly getProfile: () => Profile | undefined;
  /** Hosts that are drained next and get no new long work if others have room. */
  readonly getNextDrains?: () => ReadonlySet<string>;
  /** Told once of each worker that fails what others complete. */
  readonly onSuspect?: (hostId: string, cause: string) => void;
  /** Time for which finished jobs are kept, in ms. */
  readonly retentionMs?: number;
}
