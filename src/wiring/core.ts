import {start, stop} from 'nact';
import {
  ConfigurationActor,
  createConfigurationActor,
} from '../actors/configuration';
import {FleetView, Waves, createFleetView, createWaves} from '../actors/fleet';
import {JobCalls, createJobCalls} from '../actors/jobs';
import {
  Heartbeats,
  LeadershipActor,
  MembershipActor,
  createHeartbeats,
  createLeadershipActor,
  createMembershipActor,
} from '../actors/membership';
import {
  Requests,
  createPoolHostsCache,
  createRequests,
  createSlotSharing,
} from '../actors/requests';
import {createSlotBorrower, createSlotLenders} from '../actors/slots';
import {SlotPolicyKind, splitStatically} from '../decisions/requests';
import {AnyPeerHandler} from '../ports';
import {borrowMethod, heartbeatMethod} from '../protocol';
import {Telemetry} from '../telemetry';
import {Loan, Member} from '../types';
import {Outside} from './outside';
import {createPoolLeaders} from './pool_leaders';

/** An entry host's actors without its listeners. */
export interface Core {
  readonly configuration: ConfigurationActor;
  readonly membership: MembershipActor;
  readonly heartbeats: Heartbeats;
  readonly leadership: LeadershipActor;
  readonly view: FleetView;
  readonly waves: Waves;
  readonly jobs: JobCalls;
  readonly requests: Requests;
  /** Returns the slots lent to this entry host; undefined without a loan. */
  getLoans(pool: string): readonly Loan[] | undefined;
  /** What answers the calls of other members. */
  readonly handlers: readonly AnyPeerHandler[];
  /** True while new requests are welcome. */
  isReady(): boolean;
  /** First part of a planned stop: refuses readiness and hands leaderships over. */
  startStop(): Promise<void>;
  /** Last part of a planned stop: waits for requests, leaves, disposes everything. */
  finishStop(): Promise<void>;
  /** Drops everything at once, as a crash does. */
  dispose(): void;
}

/** What the actors are wired from. */
export interface CoreOptions {
  readonly self: Member;
  readonly outside: Outside;
  readonly telemetry: Telemetry;
  /** Way of sharing slots; lending by default. */
  readonly slotPolicy?: SlotPolicyKind;
  /** Least wait for the first byte of an idempotent request's answer, in ms. */
  readonly silenceMs?: number;
}

/** Least wait for the first byte of an idempotent request's answer. */
export const DEFAULT_SILENCE_MS = 1_000;

/** Wires an entry host's actors. */
export function createCore(options: CoreOptions): Core {
  const {self, outside, telemetry} = options;
  const {slotPolicy = SlotPolicyKind.Lending} = options;
  const {silenceMs = DEFAULT_SILENCE_MS} = options;
  const {store, hostList, workers, peers} = outside;
  const system = start();
  let stopping = false;

  const view = createFleetView({store, hostList, telemetry});
  const configuration = createConfigurationActor({
    system,
    store,
    telemetry,
    countHosts: () => view.hosts.get()?.length,
  });
  const membership = createMembershipActor({system, store, telemetry, self});
  const getRevision = () => configuration.current.get()?.revision ?? 0;
  const heartbeats = createHeartbeats({peers, membership, getRevision});
  const leadership = createLeadershipActor({
    system,
    store,
    telemetry,
    membership,
    configuration: configuration.current,
  });
  const getMembers = membership.members.get;
  const getMemberIds = () => getMembers().map(member => member.id);
  const lenders = createSlotLenders({
    memberId: self.id,
    getMemberIds,
    getLeaders: leadership.getLeaders,
    isLeased: () => membership.getLease() !== undefined,
  });
  const leaders = createPoolLeaders({
    lenders,
    system,
    outside,
    telemetry,
    view,
    configuration,
    leadership,
  });
  const poolHosts = createPoolHostsCache(view);
  const borrower = createSlotBorrower({
    self,
    peers,
    getMembers,
    getLeaders: leadership.getLeaders,
    lend: lenders.lend,
    getPools: () => listPools(configuration),
    takeUsage: pool => requests.takeUsage(pool),
    getSplit: pool =>
      splitStatically({
        hosts: poolHosts.get(pool),
        memberIds: getMemberIds(),
        memberId: self.id,
      }),
    onChange: pool => requests.review(pool),
  });
  const requests = createRequests({
    system,
    workers,
    telemetry,
    configuration: configuration.current,
    getPoolHosts: poolHosts.get,
    availabilityZone: self.availabilityZone,
    silenceMs,
    sharing: createSlotSharing({
      kind: slotPolicy,
      memberId: self.id,
      getHosts: poolHosts.get,
      getMembers,
      borrower,
    }),
  });

  function dispose(): void {
    borrower.dispose();
    poolHosts.dispose();
    leaders.dispose();
    lenders.dispose();
    leadership.dispose();
    heartbeats.dispose();
    membership.dispose();
    configuration.dispose();
    requests.dispose();
    view.dispose();
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
    leadership,
    view,
    waves: createWaves(store, view),
    jobs: createJobCalls({
      store,
      telemetry,
      configuration: configuration.current,
    }),
    requests,
    getLoans: borrower.getLoans,
    handlers: [
      {
        method: heartbeatMethod,
        handle: async () => ({
          memberId: self.id,
          configurationRevision: getRevision(),
        }),
      },
      {method: borrowMethod, handle: async report => lenders.lend(report)},
    ],
    isReady: () =>
      !stopping &&
      configuration.current.get() !== undefined &&
      view.hosts.get() !== undefined &&
      membership.members.get().some(member => member.id === self.id),
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
