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

/** This process as a member, and the members that it knows. */
export interface MembershipActor {
  readonly self: Member;
  /** Unique id of this run of the process. */
  readonly incarnation: string;
  /** Live members sorted by id; the last known ones while the store is away. */
  readonly members: ObservableValue<readonly MemberRecord[]>;
  /** True once the members have been listed. */
  hasListed(): boolean;
  /** Returns this member's lease while it certainly holds. */
  getLease(): string | undefined;
  /** True if the last call about the lease was answered. */
  isStoreAnswering(): boolean;
  /** Marks this member as leaving. */
  startLeaving(): Promise<void>;
  /** Ends the membership at once. */
  leave(): Promise<void>;
  dispose(): void;
}

/** Where the actor gets what it needs. */
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
  /** Monotonic time until which the lease certainly holds, in ms. */
  readonly validUntil: number;
  /** Version of the member's record; 0 if it isn't written. */
  readonly version: number;
  readonly leaving: boolean;
}

/** Length of a member's lease. */
export const LEASE_MS = 3_000;

const RENEW_MS = 1_000;
/** Time that clocks may drift apart over a lease. */
const LEASE_MARGIN_MS = 200;
const PREFIX = 'members/';

/** Creates the actor that keeps this process a member. */
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
  let answering = false;
  let pending = false;
  /** Monotonic time before which a store that fails isn't called again, in ms. */
  let retryAt = 0;

  const actor = createActor<State, Message>({
    system,
    name: 'membership',
    initial: {validUntil: 0, version: 0, leaving: false},
    log: telemetry.log,
    handle: async (state, message) => {
      if (message.kind === MessageKind.Renew) pending = false;
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
        return record({...state, leaving: true});
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
    noteAnswer(renewed.isOk);
    if (renewed.isErr) return state;
    if (!renewed.value) {
      telemetry.log.warn('the membership lease has ended', {member: self.id});
      return join({...state, leaseId: undefined, version: 0});
    }
    const renewedState = {...state, validUntil: endOfLease(askedAt)};
    return state.version === 0 ? record(renewedState) : renewedState;
  }

  /** Spreads the calls of all members once the store has failed for a lease's length. */
  function noteAnswer(answered: boolean): void {
    answering = answered;
    if (answered) {
      backoff.reset();
      retryAt = 0;
      return;
    }
    const waitMs = backoff.next();
    if (waitMs > RENEW_MS) retryAt = performance.now() + waitMs;
  }

  async function join(state: State): Promise<State> {
    const askedAt = performance.now();
    const granted = await store.grantLease(LEASE_MS);
    noteAnswer(granted.isOk);
    if (granted.isErr) return {...state, validUntil: 0};
    telemetry.recordDecision({
      kind: DecisionKind.Join,
      subject: self.id,
      pool: '',
      cause: `${self.id} joins in ${self.availabilityZone}`,
      inputs: {incarnation},
    });
    const leaseId = granted.value;
    return record({...state, leaseId, validUntil: endOfLease(askedAt)});
  }

  async function record(state: State): Promise<State> {
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

  function renewSoon(): void {
    if (pending) return;
    pending = true;
    actor.tell({kind: MessageKind.Renew});
  }

  const stopFollowing = mirror.entries.onChange(entries => {
    const live = [...entries.values()].map(entry => entry.value);
    members.set(live.sort((a, b) => a.id.localeCompare(b.id)));
  });
  const ticker = createTicker(RENEW_MS, renewSoon);

  return {
    self,
    incarnation,
    members,
    hasListed: () => mirror.synced.get(),
    getLease() {
      const {leaseId, validUntil} = lease.get();
      return performance.now() < validUntil ? leaseId : undefined;
    },
    isStoreAnswering: () => answering,
    async startLeaving() {
      await actor.ask(reply => ({kind: MessageKind.StartLeaving, reply}));
    },
    async leave() {
      ticker.dispose();
      await actor.ask(reply => ({kind: MessageKind.Leave, reply}));
    },
    dispose() {
      ticker.dispose();
      stopFollowing();
      mirror.dispose();
      actor.dispose();
    },
  };
}

function endOfLease(askedAt: number): number {
  return askedAt + LEASE_MS - LEASE_MARGIN_MS;
}
