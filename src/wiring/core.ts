import {start, stop} from 'nact';
import {
  createClaimedRequests,
  createClaims,
  createSingleUseWorkers,
} from '../actors/claims';
import {
  ConfigurationActor,
  createConfigurationActor,
} from '../actors/configuration';
import {
  FleetView,
  HostCalls,
  Waves,
  createFleetView,
  createHostCalls,
  createWaves,
} from '../actors/fleet';
import {JobApi, createJobApi} from '../actors/jobs';
import {
  Explanations,
  Heartbeats,
  LeadershipActor,
  MembershipActor,
  Relay,
  createExplainHandler,
  createExplanations,
  createHeartbeats,
  createLeadershipActor,
  createMembershipActor,
  createRelay,
} from '../actors/membership';
import {
  Requests,
  createPoolHostsCache,
  createRequests,
  createSlotSharing,
} from '../actors/requests';
import {createSlotBorrower, createSlotLenders} from '../actors/slots';
import {SlotPolicyKind, splitStatically} from '../decisions/requests';
import {createCheckedStore} from '../adapters/checked';
import {RECORD_FORMATS} from '../formats';
import {AnyPeerHandler} from '../ports';
import {borrowMethod} from '../protocol';
import {Telemetry} from '../telemetry';
import {Loan, Member} from '../types';
import {Adapters} from './adapters';
import {createPoolLeaders} from './pool_leaders';
import {createSlotReadiness} from './slot_readiness';

/** The actors of an entry host, without its listeners. */
export interface Core {
  readonly configuration: ConfigurationActor;
  readonly membership: MembershipActor;
  readonly heartbeats: Heartbeats;
  readonly relay: Relay;
  readonly explanations: Explanations;
  readonly leadership: LeadershipActor;
  readonly view: FleetView;
  readonly waves: Waves;
  readonly hosts: HostCalls;
  readonly jobs: JobApi;
  readonly requests: Requests;
  /**
   * Returns the slots of a pool that are lent to this entry host; undefined if
   * there is no loan.
   */
  getLoans(pool: string): readonly Loan[] | undefined;
  /** Handlers of the calls from other members. */
  readonly handlers: readonly AnyPeerHandler[];
  /** Whether new requests are accepted. */
  isReady(): boolean;
  /** Begins a planned stop: reports not ready and hands over leaderships. */
  startStop(): Promise<void>;
  /**
   * Completes a planned stop: waits for open requests, leaves the membership
   * and disposes of everything.
   */
  finishStop(): Promise<void>;
  /** Stops everything at once without handing over, as a crash would. */
  dispose(): void;
}

/** Adapters and settings from which the actors are created. */
export interface CoreOptions {
  readonly self: Member;
  readonly adapters: Adapters;
  readonly telemetry: Telemetry;
  /** How entry hosts share the workers' slots; lending by default. */
  readonly slotPolicy?: SlotPolicyKind;
  /**
   * Minimum time to wait for the first byte of an idempotent request's answer,
   * in ms.
   */
  readonly silenceMs?: number;
  /**
   * Members to contact while the store is unavailable and no members are known.
   */
  readonly seeds?: readonly Member[];
  /** Minimum retention time of a claimed idempotency key, in ms. */
  readonly claimRetentionMs?: number;
  /** Retention time of finished jobs, in ms. */
  readonly jobRetentionMs?: number;
}

/**
 * Default minimum time to wait for the first byte of an idempotent request's
 * answer, in ms.
 */
export const DEFAULT_SILENCE_MS = 1_000;

/** Creates the actors of an entry host and connects them. */
export function createCore(options: CoreOptions): Core {
  const {self, adapters, telemetry} = options;
  const {slotPolicy = SlotPolicyKind.Lending} = options;
  const {silenceMs = DEFAULT_SILENCE_MS} = options;
  const {hostList, workers, peers} = adapters;
  const seeds = options.seeds ?? [];
  const system = start();
  let stopping = false;

  const getMembers = () => membership.members.get();
  const getOthers = () => getMembers().filter(member => member.id !== self.id);
  const relay = createRelay({
    store: adapters.store,
    peers,
    telemetry,
    selfId: self.id,
    getMembers,
    seeds,
  });
  const store = createCheckedStore(relay.store, RECORD_FORMATS, (key, cause) =>
    telemetry.reportInvalidEntry('store', key, cause),
  );
  const view = createFleetView({store, hostList, telemetry});
  const configuration = createConfigurationActor({
    system,
    store,
    peers,
    selfId: self.id,
    telemetry,
    getOthers,
    countHosts: () => view.hosts.get()?.length,
  });
  const membership = createMembershipActor({system, store, telemetry, self});
  const getProfiles = () => configuration.current.get()?.profiles ?? [];
  const getRevision = () => configuration.current.get()?.revision ?? 0;
  const heartbeats = createHeartbeats({
    peers,
    membership,
    getRevision,
    onHigherRevision: configuration.pull,
    seeds,
    errors: telemetry.errors,
  });
  const leadership = createLeadershipActor({
    system,
    store,
    telemetry,
    membership,
    configuration: configuration.current,
  });
  relay.start();
  const getMemberIds = () => getMembers().map(member => member.id);
  const lenders = createSlotLenders({
    memberId: self.id,
    getMemberIds,
    getLeaders: leadership.getLeaders,
    isLeased: () => membership.getLease() !== undefined,
  });
  const poolLeaders = createPoolLeaders({
    lenders,
    system,
    adapters: {...adapters, store},
    telemetry,
    view,
    configuration,
    leadership,
    jobRetentionMs: options.jobRetentionMs,
  });
  const claims = createClaims({
    system,
    store,
    peers,
    telemetry,
    memberId: self.id,
    getMembers: membership.members.get,
    retentionMs: options.claimRetentionMs,
  });
  const poolHosts = createPoolHostsCache(view);
  const borrower = createSlotBorrower({
    self,
    peers,
    getMembers,
    getLeaders: leadership.getLeaders,
    lend: lenders.lend,
    getPools: () => listPools(configuration),
    takeUsage: pool => routedRequests.takeUsage(pool),
    getStaticSplit: pool =>
      splitStatically({
        hosts: poolHosts.get(pool),
        memberIds: getMemberIds(),
        memberId: self.id,
      }),
    onChange: pool => routedRequests.dispatchQueued(pool),
    errors: telemetry.errors,
  });
  const sharing = createSlotSharing({
    kind: slotPolicy,
    memberId: self.id,
    getHosts: poolHosts.get,
    getMembers,
    borrower,
  });
  const routedRequests = createRequests({
    system,
    workers: createSingleUseWorkers(workers),
    telemetry,
    configuration: configuration.current,
    getPoolHosts: poolHosts.get,
    availabilityZone: self.availabilityZone,
    silenceMs,
    sharing,
  });
  const slotReadiness = createSlotReadiness({
    isSynced: view.assignments.synced.get,
    getPools: () => listPools(configuration),
    getPoolHosts: poolHosts.get,
    getLoans: sharing.getLoans,
  });
  const requests = createClaimedRequests({
    requests: routedRequests,
    claims,
    telemetry,
    configuration: configuration.current,
  });

  function dispose(): void {
    borrower.dispose();
    poolHosts.dispose();
    poolLeaders.dispose();
    lenders.dispose();
    leadership.dispose();
    heartbeats.dispose();
    membership.dispose();
    configuration.dispose();
    requests.dispose();
    view.dispose();
    relay.dispose();
    stop(system);
    store.dispose();
    hostList.dispose();
    workers.dispose();
    peers.dispose();
  }

  return {
    configuration,
    membership,
    heartbeats,
    relay,
    explanations: createExplanations({
      peers,
      telemetry,
      getOthers,
    }),
    leadership,
    view,
    waves: createWaves({store, view, telemetry, getProfiles}),
    hosts: createHostCalls(store, view, self.id, getProfiles),
    jobs: createJobApi({
      store,
      telemetry,
      configuration: configuration.current,
      getPoolHosts: view.getPoolHosts,
    }),
    requests,
    getLoans: borrower.getLoans,
    handlers: [
      heartbeats.handler,
      relay.handler,
      ...configuration.handlers,
      createExplainHandler(telemetry),
      ...claims.handlers,
      {method: borrowMethod, handle: async report => lenders.lend(report)},
    ],
    isReady: () =>
      !stopping &&
      configuration.current.get() !== undefined &&
      heartbeats.initialRoundComplete.get() &&
      view.hosts.get() !== undefined &&
      membership.members.get().some(member => member.id === self.id) &&
      slotReadiness.isReady(),
    async startStop() {
      stopping = true;
      await membership.startLeaving();
      await leadership.stepDown();
    },
    async finishStop() {
      await requests.drain();
      await membership.leave();
      dispose();
    },
    dispose,
  };
}

function listPools(configuration: ConfigurationActor): readonly string[] {
  const profiles = configuration.current.get()?.profiles ?? [];
  return [...new Set(profiles.map(profile => profile.pool))];
}
