import {ActorSystemRef} from 'nact';
import {Result} from 'true-myth';
import {SlotPolicy} from '../../decisions/requests';
import {Workers} from '../../ports';
import {Snapshot} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Configuration,
  Outcome,
  PoolHost,
  Profile,
  RefusalReason,
} from '../../types';
import {Answer} from './answer';
import {InteractiveRequest} from './interactive_request';
import {
  PoolRequestsActor,
  createPoolRequestsActor,
} from './pool_requests_actor';
import {Refusal} from './refusal';

/** Runs interactive requests at this entry host. */
export interface Requests {
  run(request: InteractiveRequest): Promise<Result<Answer, Refusal>>;
  /** Resolves when no request waits or runs. */
  drain(): Promise<void>;
  dispose(): void;
}

/** Where the requests get what they need. */
export interface RequestsOptions {
  readonly system: ActorSystemRef;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly configuration: Snapshot<Configuration | undefined>;
  readonly getPoolHosts: (pool: string) => readonly PoolHost[];
  readonly getMemberIds: () => readonly string[];
  readonly memberId: string;
  readonly slotPolicy: SlotPolicy;
}

const DRAIN_POLL_MS = 20;

/** Creates the entry host's side of interactive requests. */
export function createRequests(options: RequestsOptions): Requests {
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
      system: options.system,
      workers: options.workers,
      telemetry,
      pool,
      getProfile: () => findProfile(profile => profile.pool === pool),
      getHosts: () => options.getPoolHosts(pool),
      getLoans: () =>
        options.slotPolicy({
          hosts: options.getPoolHosts(pool),
          memberIds: options.getMemberIds(),
          memberId: options.memberId,
        }),
    });
    pools.set(pool, created);
    return created;
  }

  return {
    async run(request) {
      const profile = findProfile(p => p.services.includes(request.service));
      if (profile) return getActor(profile.pool).run(request);
      const reason = configuration.get()
        ? RefusalReason.UnknownService
        : RefusalReason.NoConfiguration;
      telemetry.refused(request.service, reason);
      return Result.err({
        reason,
        outcome: Outcome.NotRun,
        detail: `no profile in force names service ${request.service}`,
      });
    },
    async drain() {
      while ([...pools.values()].some(pool => pool.getInFlight() > 0)) {
        await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
      }
    },
    dispose() {
      for (const pool of pools.values()) pool.dispose();
    },
  };
}
