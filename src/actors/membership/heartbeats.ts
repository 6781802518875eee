import {
  HEARTBEAT_FANOUT,
  findHeartbeatTargets,
  evaluateMember,
} from '../../decisions/membership';
import {PeerHandler, Peers} from '../../ports';
import {Heartbeat, heartbeatMethod} from '../../protocol';
import {ObservableValue, createObservableValue} from '../../state';
import {Member, MemberView} from '../../types';
import {createTicker} from '../shared';
import {MembershipActor} from './membership_actor';

/** What this member hears from the others by heartbeats. */
export interface Heartbeats {
  /** Revision in force at each member that was heard lately, by member id. */
  readonly revisions: ObservableValue<ReadonlyMap<string, number>>;
  /** True once every member known at the start was asked. */
  readonly asked: ObservableValue<boolean>;
  /** Answers the heartbeats of others. */
  readonly handler: PeerHandler<Heartbeat, Heartbeat>;
  /** Returns every member as this one sees it, with the reasons. */
  getSights(): readonly MemberView[];
  dispose(): void;
}

/** Where the heartbeats get what they need. */
export interface HeartbeatsOptions {
  readonly peers: Peers;
  readonly membership: MembershipActor;
  readonly getRevision: () => number;
  /** Told of a member that has a higher revision in force. */
  readonly onHigherRevision: (member: Member) => Promise<void>;
  /** Members to ask while none is known. */
  readonly seeds: readonly Member[];
}

interface Heard extends Heartbeat {
  /** Monotonic time in ms. */
  readonly at: number;
}

const HEARTBEAT_MS = 1_000;
const TIMEOUT_MS = 800;
/** Time after which a member that ended is no longer shown. */
const FORGET_MS = 600_000;

/** Starts heartbeats to the other members. */
export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
  const {peers, membership, getRevision, onHigherRevision, seeds} = options;
  const {self} = membership;
  const revisions = createObservableValue<ReadonlyMap<string, number>>(
    new Map(),
  );
  const asked = createObservableValue(false);
  const heard = new Map<string, Heard>();
  let round = 0;

  function createHeartbeat(): Heartbeat {
    return {
      memberId: self.id,
      configurationRevision: getRevision(),
      incarnation: membership.incarnation,
      storeAnswers: membership.isStoreAnswering(),
    };
  }

  function note(heartbeat: Heartbeat): void {
    heard.set(heartbeat.memberId, {...heartbeat, at: performance.now()});
  }

  function findTargets(): readonly Member[] {
    const members = membership.members.get();
    const known = members.some(member => member.id !== self.id);
    if (!known) return seeds;
    if (asked.get()) return findHeartbeatTargets(members, self.id, round);
    return members.filter(member => member.id !== self.id);
  }

  async function beat(): Promise<void> {
    round += 1;
    const members = membership.members.get();
    if (members.length > 0) peers.retain(members);
    await Promise.all(findTargets().map(call));
    forget();
    revisions.set(readRevisions());
    const settled = membership.hasListed() || heard.size > 0;
    if (settled && !asked.get()) asked.set(true);
  }

  async function call(member: Member): Promise<void> {
    const heartbeat = createHeartbeat();
    const reply = await peers.call(
      member,
      heartbeatMethod,
      heartbeat,
      TIMEOUT_MS,
    );
    if (reply.isErr) return;
    note(reply.value);
    if (reply.value.configurationRevision > getRevision()) {
      await onHigherRevision(member);
    }
  }

  function forget(): void {
    const oldest = performance.now() - FORGET_MS;
    for (const [id, {at}] of heard) {
      if (at < oldest) heard.delete(id);
    }
  }

  /** Longest time between two heartbeats with one member, in ms. */
  function getPeriodMs(): number {
    const others = membership.members.get().length - 1;
    const rounds = Math.ceil(others / 2 / HEARTBEAT_FANOUT);
    return HEARTBEAT_MS * Math.max(1, rounds);
  }

  function readRevisions(): ReadonlyMap<string, number> {
    const oldest = performance.now() - 3 * getPeriodMs();
    const recent = [...heard.values()].filter(({at}) => at >= oldest);
    return new Map([
      [self.id, getRevision()],
      ...recent.map(
        ({memberId, configurationRevision}) =>
          [memberId, configurationRevision] as const,
      ),
    ]);
  }

  function getLast(id: string): Heard | undefined {
    if (id !== self.id) return heard.get(id);
    return {...createHeartbeat(), at: performance.now()};
  }

  function readSight(id: string): MemberView {
    const record = membership.members.get().find(member => member.id === id);
    const last = getLast(id);
    const heardAgoMs = last && performance.now() - last.at;
    const judgement = evaluateMember({
      leaseSeen: record !== undefined,
      leaving: record?.leaving ?? false,
      heardAgoMs,
      heartbeatMs: getPeriodMs(),
    });
    return {
      memberId: id,
      availabilityZone: record?.availabilityZone ?? '',
      incarnation: last?.incarnation ?? record?.incarnation ?? '',
      leaseSeen: record !== undefined,
      heardAgoMs,
      revision: last?.configurationRevision ?? 0,
      storeAnswers: last?.storeAnswers ?? false,
      ...judgement,
    };
  }

  const ticker = createTicker(HEARTBEAT_MS, () => void beat());

  return {
    revisions,
    asked,
    handler: {
      method: heartbeatMethod,
      async handle(heartbeat) {
        note(heartbeat);
        const member = membership.members
          .get()
          .find(({id}) => id === heartbeat.memberId);
        if (member && heartbeat.configurationRevision > getRevision()) {
          void onHigherRevision(member);
        }
        return createHeartbeat();
      },
    },
    getSights() {
      const ids = new Set([
        ...membership.members.get().map(({id}) => id),
        ...heard.keys(),
      ]);
      return [...ids].sort().map(readSight);
    },
    dispose: () => ticker.dispose(),
  };
}
