import {Peers} from '../../ports';
import {Snapshot, createSnapshot} from '../../state';
import {heartbeatMethod} from '../../protocol';
import {createTicker} from '../shared';
import {MembershipActor} from './membership_actor';

/** What this member hears from the others by heartbeats. */
export interface Heartbeats {
  /** Revision in force at each member that answered lately, by member id. */
  readonly revisions: Snapshot<ReadonlyMap<string, number>>;
  dispose(): void;
}

/** Where the heartbeats get what they need. */
export interface HeartbeatsOptions {
  readonly peers: Peers;
  readonly membership: MembershipActor;
  readonly getRevision: () => number;
}

const HEARTBEAT_MS = 1_000;
const TIMEOUT_MS = 800;

/** Starts heartbeats to every other member. */
export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
  const {peers, membership, getRevision} = options;
  const {self} = membership;
  const revisions = createSnapshot<ReadonlyMap<string, number>>(new Map());

  async function beat(): Promise<void> {
    const members = membership.members.get();
    peers.retain(members);
    const others = members.filter(member => member.id !== self.id);
    const heard = new Map([[self.id, getRevision()]]);
    await Promise.all(
      others.map(async member => {
        const request = {
          memberId: self.id,
          configurationRevision: getRevision(),
        };
        const reply = await peers.call(
          member,
          heartbeatMethod,
          request,
          TIMEOUT_MS,
        );
        if (reply.isOk) heard.set(member.id, reply.value.configurationRevision);
      }),
    );
    revisions.set(heard);
  }

  const ticker = createTicker(HEARTBEAT_MS, () => void beat());

  return {revisions, dispose: () => ticker.dispose()};
}
