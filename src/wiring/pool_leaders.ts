import {ActorSystemRef} from 'nact';
import {ConfigurationActor} from '../actors/configuration';
import {
  FleetView,
  createPoolFleetActor,
  findUpcomingDrains,
} from '../actors/fleet';
import {LeaseRenewer, createPoolJobsActor} from '../actors/jobs';
import {SlotLenders} from '../actors/slots';
import {LeadershipActor} from '../actors/membership';
import {Telemetry} from '../telemetry';
import {Adapters} from './adapters';

/** The actors of the pools that this entry host leads. */
export interface PoolLeaders {
  dispose(): void;
}

/** Dependencies of the leaders' actors. */
export interface PoolLeadersOptions {
  readonly system: ActorSystemRef;
  readonly adapters: Adapters;
  readonly telemetry: Telemetry;
  readonly view: FleetView;
  readonly configuration: ConfigurationActor;
  readonly leadership: LeadershipActor;
  readonly lenders: SlotLenders;
  /** Retention time of finished jobs, in ms. */
  readonly jobRetentionMs?: number;
}

interface LedPool {
  readonly term: number;
  readonly dispose: () => void;
  /** Stops leading, but keeps renewing the leases of running tasks. */
  readonly resign: () => LeaseRenewer;
}

/**
 * Starts the actors of a pool when this entry host becomes its leader, and
 * stops them when it no longer is.
 */
export function createPoolLeaders(options: PoolLeadersOptions): PoolLeaders {
  const ledPools = new Map<string, LedPool>();
  const leaseRenewers = new Map<string, LeaseRenewer>();

  function applyLeaderships(led: ReadonlyMap<string, number>): void {
    for (const [pool, ledPool] of ledPools) {
      if (led.get(pool) === ledPool.term) continue;
      leaseRenewers.get(pool)?.dispose();
      leaseRenewers.set(pool, ledPool.resign());
      ledPools.delete(pool);
    }
    for (const [pool, term] of led) {
      if (!ledPools.has(pool)) ledPools.set(pool, start(pool, term));
    }
  }

  function start(pool: string, term: number): LedPool {
    const {system, adapters, telemetry, view, configuration} = options;
    const {store, workers} = adapters;
    const onFailing = () =>
      options.leadership.endTerms('its actor fails repeatedly', [pool]);
    const shared = {
      system,
      store,
      workers,
      telemetry,
      pool,
      term,
      onFailing,
    };
    const getProfile = () =>
      configuration.current.get()?.profiles.find(p => p.pool === pool);
    const fleet = createPoolFleetActor({
      ...shared,
      view,
      getProfile,
      getConfiguration: configuration.current.get,
    });
    const getHosts = () => view.getPoolHosts(pool);
    const slots = options.lenders.open(pool, term, getHosts);
    const jobs = createPoolJobsActor({
      ...shared,
      getHosts,
      slots,
      getProfile,
      retentionMs: options.jobRetentionMs,
      getNextDrains: () => {
        const profile = getProfile();
        return new Set(profile ? findUpcomingDrains(view, profile) : []);
      },
      onSuspect: (hostId, cause) => void fleet.quarantine(hostId, cause),
    });
    return {
      term,
      dispose() {
        jobs.dispose();
        fleet.dispose();
      },
      resign() {
        const leaseRenewer = jobs.resign();
        fleet.dispose();
        return leaseRenewer;
      },
    };
  }

  const unsubscribe = options.leadership.ledPools.onChange(applyLeaderships);

  return {
    dispose() {
      unsubscribe();
      for (const ledPool of ledPools.values()) ledPool.dispose();
      for (const leaseRenewer of leaseRenewers.values()) leaseRenewer.dispose();
    },
  };
}
