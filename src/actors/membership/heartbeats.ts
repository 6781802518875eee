import {
  HEARTBEAT_FANOUT,
  findHeartbeatTargets,
  evaluateMember,
} from '../../decisions/membership';
import {PeerHandler, Peers} from '../../ports';
import {Heartbeat, heartbeatMethod} from '../../protocol';
import {
  ObservableValue,
  createObservableValue,
  runInBackground,
} from '../../state';
import {UnexpectedErrors} from '../../telemetry';
import {Member, MemberView} from '../../types';
import {createTicker} from '../shared';
import {MembershipActor} from './membership_actor';

/** Heartbeats with the other members and the state learned from them. */
export interface Heartbeats {
  /**
   * Active configuration revision of each member with a recent heartbeat, by
   * member id.
   */
  readonly revisions: ObservableValue<ReadonlyMap<string, number>>;
  /**
   * Whether the first round of heartbeats with all known members has completed.
   */
  readonly initialRoundComplete: ObservableValue<boolean>;
  /** Handles heartbeats of other members. */
  readonly handler: PeerHandler<Heartbeat, Heartbeat>;
  /** Returns the status of every known member as observed by this member. */
  getMemberStatuses(): readonly MemberView[];
  dispose(): void;
}

/** Dependencies of the heartbeats. */
export interface HeartbeatsOptions {
  readonly peers: Peers;
  readonly membership: MembershipActor;
  /** Returns this member's active configuration revision. */
  readonly getRevision: () => number;
  /** Called with a member whose active configuration revision is higher. */
  readonly onHigherRevision: (member: Member) => Promise<void>;
  /** Members to contact while no other member is known. */
  readonly seeds: readonly Member[];
  readonly errors: UnexpectedErrors;
}

interface ReceivedHeartbeat extends Heartbeat {
  /** Monotonic time of receipt in ms. */
  readonly at: number;
}

const HEARTBEAT_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 800;
/**
 * Time after its last heartbeat for which a member that has stopped is still
 * reported.
 */
const RETENTION_MS = 600_000;

/** Starts the heartbeats with the other members. */
export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
  const {peers, membership, getRevision, onHigherRevision, seeds} = options;
  const {self} = membership;
  const revisions = createObservableValue<ReadonlyMap<string, number>>(
    new Map(),
  );
  const initialized = createObservableValue(false);
  const received = new Map<string, ReceivedHeartbeat>();
  let round = 0;

  function createHeartbeat(): Heartbeat {
    return {
      memberId: self.id,
      configurationRevision: getRevision(),
      incarnation: membership.incarnation,
      storeAnswers: membership.isStoreAnswering(),
    };
  }

  function recordHeartbeat(heartbeat: Heartbeat): void {
    received.set(heartbeat.memberId, {...heartbeat, at: performance.now()});
  }

  function findTargets(): readonly Member[] {
    const members = membership.members.get();
    const known = members.some(member => member.id !== self.id);
    if (!known) return seeds;
    if (initialized.get()) return findHeartbeatTargets(members, self.id, round);
    return members.filter(member => member.id !== self.id);
  }

  async function runRound(): Promise<void> {
    round += 1;
    const members = membership.members.get();
    if (members.length > 0) peers.retain(members);
    await Promise.all(findTargets().map(call));
    removeExpired();
    revisions.set(listRecentRevisions());
    const settled = membership.hasListedMembers() || received.size > 0;
    if (settled && !initialized.get()) initialized.set(true);
  }

  async function call(member: Member): Promise<void> {
    const heartbeat = createHeartbeat();
    const reply = await peers.call(
      member,
      heartbeatMethod,
      heartbeat,
      CALL_TIMEOUT_MS,
    );
    if (reply.isErr) return;
    recordHeartbeat(reply.value);
    if (reply.value.configurationRevision > getRevision()) {
      await onHigherRevision(member);
    }
  }

  function removeExpired(): void {
    const oldest = performance.now() - RETENTION_MS;
    for (const [id, {at}] of received) {
      if (at < oldest) received.delete(id);
    }
  }

  /**
   * Returns the maximum expected time between two heartbeats with one member,
   * in ms.
   */
  function getMaxIntervalMs(): number {
    const others = membership.members.get().length - 1;
    const rounds = Math.ceil(others / 2 / HEARTBEAT_FANOUT);
    return HEARTBEAT_INTERVAL_MS * Math.max(1, rounds);
  }

  function listRecentRevisions(): ReadonlyMap<string, number> {
    const oldest = performance.now() - 3 * getMaxIntervalMs();
    const recent = [...received.values()].filter(({at}) => at >= oldest);
    return new Map([
      [self.id, getRevision()],
      ...recent.map(
        ({memberId, configurationRevision}) =>
          [memberId, configurationRevision] as const,
      ),
    ]);
  }

  function getLastHeartbeat(id: string): ReceivedHeartbeat | undefined {
    if (id !== self.id) return received.get(id);
    return {...createHeartbeat(), at: performance.now()};
  }

  function describeMember(id: string): MemberView {
    const record = membership.members.get().find(member => member.id === id);
    const last = getLastHeartbeat(id);
    const heardAgoMs = last && performance.now() - last.at;
    const evaluation = evaluateMember({
      leaseSeen: record !== undefined,
      leaving: record?.leaving ?? false,
      heardAgoMs,
      heartbeatMs: getMaxIntervalMs(),
    });
    return {
      memberId: id,
      availabilityZone: record?.availabilityZone ?? '',
      incarnation: last?.incarnation ?? record?.incarnation ?? '',
      leaseSeen: record !== undefined,
      heardAgoMs,
      revision: last?.configurationRevision ?? 0,
      storeAnswers: last?.storeAnswers ?? false,
      ...evaluation,
    };
  }

  const ticker = createTicker({
    intervalMs: HEARTBEAT_INTERVAL_MS,
    activity: 'heartbeat',
    tick: runRound,
    errors: options.errors,
  });

  return {
    revisions,
    initialRoundComplete: initialized,
    handler: {
      method: heartbeatMethod,
      async handle(heartbeat) {
        recordHeartbeat(heartbeat);
        const member = membership.members
          .get()
          .find(({id}) => id === heartbeat.memberId);
        if (member && heartbeat.configurationRevision > getRevision()) {
          runInBackground(
            () => onHigherRevision(member),
            error => options.errors.report('configuration-pull', error),
          );
        }
        return createHeartbeat();
      },
    },
    getMemberStatuses() {
      const ids = new Set([
        ...membership.members.get().map(({id}) => id),
        ...received.keys(),
      ]);
      return [...ids].sort().map(describeMember);
    },
    dispose: () => ticker.dispose(),
  };
}
