import {ActorSystemRef, Ref, dispatch} from 'nact';
import {findPreferredMember} from '../../decisions/membership';
import {Store} from '../../ports';
import {
  Mirror,
  Snapshot,
  WriteOutcome,
  createMirror,
  createSnapshot,
  write,
} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Configuration,
  DecisionKind,
  LeaderRecord,
  PoolRecord,
} from '../../types';
import {createActor, createTicker} from '../shared';
import {MembershipActor} from './membership_actor';

/** Which pools this member leads, and who leads the others. */
export interface LeadershipActor {
  /** Terms of the pools that this member leads, by pool. */
  readonly led: Snapshot<ReadonlyMap<string, number>>;
  /** Leaders by pool, as last known. */
  getLeaders(): ReadonlyMap<string, LeaderRecord>;
  /** Hands all pools over. */
  stepDown(): Promise<void>;
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface LeadershipOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly telemetry: Telemetry;
  readonly membership: MembershipActor;
  readonly configuration: Snapshot<Configuration | undefined>;
}

enum MessageKind {
  Review,
  StepDown,
}

interface Message {
  readonly kind: MessageKind;
  readonly reply?: Ref<boolean>;
}

interface State {
  readonly led: ReadonlyMap<string, number>;
  readonly stopping: boolean;
}

const REVIEW_MS = 500;
const PREFIX = 'leaders/';

/** Creates the actor that takes and gives up the leadership of pools. */
export function createLeadershipActor(
  options: LeadershipOptions,
): LeadershipActor {
  const {system, store, telemetry, membership, configuration} = options;
  const {self} = membership;
  const mirror: Mirror<LeaderRecord> = createMirror(store, PREFIX);
  const led = createSnapshot<ReadonlyMap<string, number>>(new Map());

  const actor = createActor<State, Message>({
    system,
    name: 'leadership',
    initial: {led: new Map(), stopping: false},
    log: telemetry.log,
    handle: async (state, message) => {
      const next =
        message.kind === MessageKind.StepDown
          ? await releaseAll(state)
          : await review(state);
      if (!sameTerms(next.led, led.get())) led.set(next.led);
      if (message.reply) dispatch(message.reply, true);
      return next;
    },
  });

  async function review(state: State): Promise<State> {
    const leaseId = membership.getLease();
    if (!leaseId || !mirror.synced.get()) return dropAll(state);
    if (state.stopping) return state;
    const next = new Map(state.led);
    for (const {pool} of configuration.get()?.profiles ?? []) {
      await reviewPool(pool, leaseId, next);
    }
    return {...state, led: next};
  }

  async function reviewPool(
    pool: string,
    leaseId: string,
    next: Map<string, number>,
  ): Promise<void> {
    const members = membership.members.get();
    const preferred = findPreferredMember(pool, members)?.id === self.id;
    const record = mirror.entries.get().get(keyOf(pool));
    const mine = record?.value.memberId === self.id;
    if (next.has(pool) && !mine && record) next.delete(pool);
    if (preferred && !record) return elect(pool, leaseId, next);
    if (preferred && mine && !next.has(pool)) return takeTerm(pool, next);
    if (!preferred && mine) await release(pool, next);
  }

  async function elect(
    pool: string,
    leaseId: string,
    next: Map<string, number>,
  ): Promise<void> {
    const value: LeaderRecord = {pool, memberId: self.id, since: Date.now()};
    const key = keyOf(pool);
    const written = await write(store, {
      key,
      expectedVersion: 0,
      value: JSON.stringify(value),
      leaseId,
    });
    if (written.outcome !== WriteOutcome.Written) return;
    mirror.accept(key, written.version, value);
    await takeTerm(pool, next);
  }

  async function takeTerm(
    pool: string,
    next: Map<string, number>,
  ): Promise<void> {
    const key = `pools/${pool}`;
    const read = await store.get(key);
    if (read.isErr) return;
    const found = read.value
      ? (JSON.parse(read.value.value) as PoolRecord)
      : undefined;
    const term = (found?.term ?? 0) + 1;
    const record: PoolRecord = {
      pool,
      term,
      leader: self.id,
      unavailable: found?.unavailable ?? [],
    };
    const written = await write(store, {
      key,
      expectedVersion: read.value?.version ?? 0,
      value: JSON.stringify(record),
    });
    if (written.outcome !== WriteOutcome.Written) return;
    next.set(pool, term);
    telemetry.decide({
      kind: DecisionKind.Lead,
      subject: pool,
      pool,
      cause: `${self.id} leads ${pool} from term ${term}`,
      inputs: {term},
    });
  }

  async function release(
    pool: string,
    next: Map<string, number>,
  ): Promise<void> {
    next.delete(pool);
    led.set(new Map(next));
    const key = keyOf(pool);
    const version = mirror.entries.get().get(key)?.version ?? 0;
    const written = await write(store, {
      key,
      expectedVersion: version,
      value: undefined,
    });
    if (written.outcome === WriteOutcome.Written) {
      mirror.accept(key, version + 1, undefined);
    }
    telemetry.decide({
      kind: DecisionKind.StepDown,
      subject: pool,
      pool,
      cause: `${self.id} hands ${pool} over`,
    });
  }

  async function releaseAll(state: State): Promise<State> {
    const next = new Map(state.led);
    for (const pool of state.led.keys()) await release(pool, next);
    return {led: next, stopping: true};
  }

  function dropAll(state: State): State {
    for (const pool of state.led.keys()) {
      telemetry.decide({
        kind: DecisionKind.StepDown,
        subject: pool,
        pool,
        cause: `${self.id} no longer holds its lease`,
      });
    }
    return state.led.size > 0 ? {...state, led: new Map()} : state;
  }

  const ticker = createTicker(REVIEW_MS, () =>
    actor.tell({kind: MessageKind.Review}),
  );

  return {
    led,
    getLeaders: () =>
      new Map(
        [...mirror.entries.get().values()].map(({value}) => [
          value.pool,
          value,
        ]),
      ),
    async stepDown() {
      await actor.ask(reply => ({kind: MessageKind.StepDown, reply}));
    },
    dispose() {
      ticker.dispose();
      mirror.dispose();
      actor.dispose();
    },
  };
}

function keyOf(pool: string): string {
  return `${PREFIX}${pool}`;
}

function sameTerms(
  a: ReadonlyMap<string, number>,
  b: ReadonlyMap<string, number>,
): boolean {
  return a.size === b.size && [...a].every(([pool, t]) => b.get(pool) === t);
}
