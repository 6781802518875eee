import {ActorSystemRef} from 'nact';
import {Result} from 'true-myth';
import {Workers} from '../../ports';
import {ObservableValue} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Configuration,
  Outcome,
  PoolHost,
  Profile,
  RefusalReason,
} from '../../types';
import {SlotUsage} from '../slots';
import {Answer} from './answer';
import {InteractiveRequest} from './interactive_request';
import {
  PoolRequestsActor,
  createPoolRequestsActor,
} from './pool_requests_actor';
import {Refusal} from './refusal';
import {SlotSharing} from './slot_sharing';

/** Runs interactive requests on an entry host. */
export interface Requests {
  run(request: InteractiveRequest): Promise<Result<Answer, Refusal>>;
  /** Resolves once no request waits or runs. */
  drain(): Promise<void>;
  dispose(): void;
}

/** Requests of this entry host, with the hooks that the slot borrower uses. */
export interface LocalRequests extends Requests {
  /**
   * Returns the slot usage of a pool and starts a new period of the demand
   * measurement.
   */
  takeUsage(pool: string): SlotUsage;
  /** Dispatches the waiting requests of a pool after its loans have changed. */
  dispatchQueued(pool: string): void;
}

/** Options for {@link createRequests}. */
export interface RequestsOptions {
  readonly system: ActorSystemRef;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly configuration: ObservableValue<Configuration | undefined>;
  readonly getPoolHosts: (pool: string) => readonly PoolHost[];
  readonly availabilityZone: string;
  /** Lower bound of the first-byte timeout of idempotent requests, in ms. */
  readonly silenceMs: number;
  readonly sharing: SlotSharing;
}

const DRAIN_POLL_INTERVAL_MS = 20;
const NO_USAGE: SlotUsage = {demand: 0, need: 0, used: new Map()};

/** Creates the runner of interactive requests, with one actor per pool. */
export function createRequests(options: RequestsOptions): LocalRequests {
  const {configuration, telemetry} = options;
  const pools = new Map<string, PoolRequestsActor>();

  function findProfile(
    matches: (profile: Profile) => boolean,
  ): Profile | undefined {
    return configuration.get()?.profiles.find(matches);
  }

  function getActor(pool: string): PoolRequestsActor {
    const known = pools.get(pool);
    if (known) return known;
    const created = createPoolRequestsActor({
      ...options,
      pool,
      getHosts: () => options.getPoolHosts(pool),
      getMaxUnavailable: () =>
        findProfile(profile => profile.pool === pool)?.maxUnavailable ?? 0,
    });
    pools.set(pool, created);
    return created;
  }

  return {
    async run(request) {
      const profile = findProfile(p => p.services.includes(request.service));
      if (profile) return getActor(profile.pool).run(request, profile);
      const reason = configuration.get()
        ? RefusalReason.UnknownService
        : RefusalReason.NoConfiguration;
      telemetry.countRefusal(request.service, reason);
      return Result.err({
        reason,
        outcome: Outcome.NotRun,
        detail: `no profile in force names service ${request.service}`,
      });
    },
    takeUsage: pool => pools.get(pool)?.takeUsage() ?? NO_USAGE,
    dispatchQueued: pool => pools.get(pool)?.dispatchQueued(),
    async drain() {
      while ([...pools.values()].some(pool => pool.getInFlight() > 0)) {
        await new Promise(resolve =>
          setTimeout(resolve, DRAIN_POLL_INTERVAL_MS),
        );
      }
    },
    dispose() {
      for (const pool of pools.values()) pool.dispose();
    },
  };
}
