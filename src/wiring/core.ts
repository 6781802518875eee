import {start, stop} from 'nact';
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
import {JobCalls, createJobCalls} from '../actors/jobs';
import {
  Heartbeats,
  LeadershipActor,
  MembershipActor,
  createHeartbeats,
  createLeadershipActor,
  createMembershipActor,
} from '../actors/membership';
import {Requests, createRequests} from '../actors/requests';
import {SlotPolicy, splitStatically} from '../decisions/requests';
import {AnyPeerHandler} from '../ports';
import {heartbeatMethod} from '../protocol';
import {Telemetry} from '../telemetry';
import {Member} from '../types';
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
  readonly hosts: HostCalls;
  readonly jobs: JobCalls;
  readonly requests: Requests;
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
  /** Decides which slots this entry host may use. */
  readonly slotPolicy?: SlotPolicy;
}

/** Wires an entry host's actors. */
export function createCore(options: CoreOptions): Core {
  const {self, outside, telemetry, slotPolicy = splitStatically} = options;
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
  const getProfiles = () => configuration.current.get()?.profiles ?? [];
  const getRevision = () => configuration.current.get()?.revision ?? 0;
  const heartbeats = createHeartbeats({peers, membership, getRevision});
  const leadership = createLeadershipActor({
    system,
    store,
    telemetry,
    membership,
    configuration: configuration.current,
  });
  const leaders = createPoolLeaders({
    system,
    outside,
    telemetry,
    view,
    configuration,
    leadership,
  });
  const requests = createRequests({
    system,
    workers,
    telemetry,
    configuration: configuration.current,
    getPoolHosts: view.getPoolHosts,
    getMemberIds: () => membership.members.get().map(member => member.id),
    memberId: self.id,
    slotPolicy,
  });

  function dispose(): void {
    leaders.dispose();
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
    waves: createWaves({store, view, telemetry, getProfiles}),
    hosts: createHostCalls(store, view, self.id, getProfiles),
    jobs: createJobCalls({
      store,
      telemetry,
      configuration: configuration.current,
    }),
    requests,
    handlers: [
      {
        method: heartbeatMethod,
        handle: async () => ({
          memberId: self.id,
          configurationRevision: getRevision(),
        }),
      },
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
