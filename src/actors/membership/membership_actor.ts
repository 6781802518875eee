import {randomUUID} from 'node:crypto';
import {ActorSystemRef, Ref, dispatch} from 'nact';
import {Store} from '../../ports';
import {
  Mirror,
  ObservableValue,
  WriteOutcome,
  createBackoff,
  createMirror,
  createObservableValue,
  write,
} from '../../state';
import {Telemetry} from '../../telemetry';
import {DecisionKind, Member, MemberRecord} from '../../types';
import {createActor, createTicker} from '../shared';

/** Membership of this process and the known members. */
export interface MembershipActor {
  readonly self: Member;
  /** Unique id of this process run. */
  readonly incarnation: string;
  /**
   * Live members sorted by id; the last known ones while the store is
   * unavailable.
   */
  readonly members: ObservableValue<readonly MemberRecord[]>;
  /** Whether the members have been listed from the store. */
  hasListedMembers(): boolean;
  /**
   * Returns this member's lease id, or undefined if the lease may have expired.
   */
  getLease(): string | undefined;
  /** Whether the last grant or renewal of the lease was answered. */
  isStoreAnswering(): boolean;
  /** Marks this member as leaving in its record. */
  startLeaving(): Promise<void>;
  /** Ends the membership by revoking the lease. */
  leave(): Promise<void>;
  dispose(): void;
}

/** Dependencies of the membership actor. */
export interface MembershipOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly telemetry: Telemetry;
  readonly self: Member;
}

enum MessageKind {
  Renew,
  StartLeaving,
  Leave,
}

interface Message {
  readonly kind: MessageKind;
  readonly reply?: Ref<boolean>;
}

interface State {
  readonly leaseId?: string;
  /** Monotonic time in ms until which the lease is guaranteed to be valid. */
  readonly validUntil: number;
  /**
   * Version of the member's record; 0 if it has not been written under this
   * lease.
   */
  readonly version: number;
  readonly leaving: boolean;
}

/** Duration of a member's lease. */
export const LEASE_MS = 3_000;

const RENEWAL_INTERVAL_MS = 1_000;
/**
 * Allowance for clock drift between this process and the store during a lease.
 */
const LEASE_MARGIN_MS = 200;
const PREFIX = 'members/';

/** Creates the actor that maintains the membership of this process. */
export function createMembershipActor(
  options: MembershipOptions,
): MembershipActor {
  const {system, store, telemetry, self} = options;
  const incarnation = randomUUID();
  const mirror: Mirror<MemberRecord> = createMirror(store, PREFIX);
  const members = createObservableValue<readonly MemberRecord[]>([]);
  const lease = createObservableValue<Pick<State, 'leaseId' | 'validUntil'>>({
    validUntil: 0,
  });
  const backoff = createBackoff();
  const key = `${PREFIX}${self.id}`;
  let storeAnswering = false;
  let renewalQueued = false;
  /** Monotonic time in ms before which a failing store is not called again. */
  let retryAt = 0;

  const actor = createActor<State, Message>({
    system,
    name: 'membership',
    initial: {validUntil: 0, version: 0, leaving: false},
    errors: telemetry.errors,
    handle: async (state, message) => {
      if (message.kind === MessageKind.Renew) renewalQueued = false;
      const next = await handle(state, message);
      lease.set({leaseId: next.leaseId, validUntil: next.validUntil});
      if (message.reply) dispatch(message.reply, true);
      return next;
    },
  });

  async function handle(state: State, message: Message): Promise<State> {
    switch (message.kind) {
      case MessageKind.Renew:
        return renew(state);
      case MessageKind.StartLeaving:
        return writeRecord({...state, leaving: true});
      case MessageKind.Leave:
        if (state.leaseId) await store.revokeLease(state.leaseId);
        return {validUntil: 0, version: 0, leaving: true};
    }
  }

  async function renew(state: State): Promise<State> {
    if (performance.now() < retryAt) return state;
    if (!state.leaseId) return state.leaving ? state : join(state);
    const askedAt = performance.now();
    const renewed = await store.renewLease(state.leaseId);
    recordStoreAnswer(renewed.isOk);
    if (renewed.isErr) return state;
    if (!renewed.value) {
      telemetry.log.warn('the membership lease has ended', {member: self.id});
      return join({...state, leaseId: undefined, version: 0});
    }
    const renewedState = {...state, validUntil: getLeaseExpiry(askedAt)};
    return state.version === 0 ? writeRecord(renewedState) : renewedState;
  }

  /**
   * Records whether the store answered.
   *
   * Once the store has failed for about the duration of a lease, a jittered
   * backoff spreads the calls of all members.
   */
  function recordStoreAnswer(answered: boolean): void {
    storeAnswering = answered;
    if (answered) {
      backoff.reset();
      retryAt = 0;
      return;
    }
    const waitMs = backoff.next();
    if (waitMs > RENEWAL_INTERVAL_MS) retryAt = performance.now() + waitMs;
  }

  async function join(state: State): Promise<State> {
    const askedAt = performance.now();
    const granted = await store.grantLease(LEASE_MS);
    recordStoreAnswer(granted.isOk);
    if (granted.isErr) return {...state, validUntil: 0};
    telemetry.recordDecision({
      kind: DecisionKind.Join,
      subject: self.id,
      pool: '',
      cause: `${self.id} joins in ${self.availabilityZone}`,
      inputs: {incarnation},
    });
    const leaseId = granted.value;
    return writeRecord({
      ...state,
      leaseId,
      validUntil: getLeaseExpiry(askedAt),
    });
  }

  async function writeRecord(state: State): Promise<State> {
    if (!state.leaseId) return state;
    const found = await store.get(key);
    if (found.isErr) return state;
    const value: MemberRecord = {...self, incarnation, leaving: state.leaving};
    const written = await write(store, {
      key,
      expectedVersion: found.value?.version ?? 0,
      value: JSON.stringify(value),
      leaseId: state.leaseId,
    });
    if (written.outcome !== WriteOutcome.Written) return state;
    mirror.applyWrite(key, written.version, value);
    return {...state, version: written.version};
  }

  function requestRenewal(): void {
    if (renewalQueued) return;
    renewalQueued = true;
    actor.tell({kind: MessageKind.Renew});
  }

  const unsubscribe = mirror.entries.onChange(entries => {
    const live = [...entries.values()].map(entry => entry.value);
    members.set(live.sort((a, b) => a.id.localeCompare(b.id)));
  });
  const ticker = createTicker({
    intervalMs: RENEWAL_INTERVAL_MS,
    activity: 'membership-renewal',
    tick: requestRenewal,
    errors: telemetry.errors,
  });

  return {
    self,
    incarnation,
    members,
    hasListedMembers: () => mirror.synced.get(),
    getLease() {
      const {leaseId, validUntil} = lease.get();
      return performance.now() < validUntil ? leaseId : undefined;
    },
    isStoreAnswering: () => storeAnswering,
    async startLeaving() {
      await actor.ask(reply => ({kind: MessageKind.StartLeaving, reply}));
    },
    async leave() {
      ticker.dispose();
      await actor.ask(reply => ({kind: MessageKind.Leave, reply}));
    },
    dispose() {
      ticker.dispose();
      unsubscribe();
      mirror.dispose();
      actor.dispose();
    },
  };
}

function getLeaseExpiry(askedAt: number): number {
  return askedAt + LEASE_MS - LEASE_MARGIN_MS;
}
