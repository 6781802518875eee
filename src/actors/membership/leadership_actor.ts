import {ActorSystemRef, Ref, dispatch} from 'nact';
import {assignLeaders} from '../../decisions/membership';
import {Store} from '../../ports';
import {
  Mirror,
  ObservableValue,
  createMirror,
  createObservableValue,
} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Configuration,
  DecisionKind,
  LeaderRecord,
  PoolRecord,
} from '../../types';
import {createActor, createTicker} from '../shared';
import {claimKey, createElections, poolKey} from './elections';
import {MembershipActor} from './membership_actor';

/** Which pools this member leads, and who leads the others. */
export interface LeadershipActor {
  /** Terms of the pools that this member certainly leads, by pool. */
  readonly led: ObservableValue<ReadonlyMap<string, number>>;
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
  readonly configuration: ObservableValue<Configuration | undefined>;
}

enum MessageKind {
  Review,
  StepDown,
}

interface Message {
  readonly kind: MessageKind;
  readonly reply?: Ref<boolean>;
}

const REVIEW_MS = 500;
/** Time between two looks at the lease while pools are led. */
const LEASE_CHECK_MS = 100;

/** Creates the actor that takes and gives up the leadership of pools. */
export function createLeadershipActor(
  options: LeadershipOptions,
): LeadershipActor {
  const {system, store, telemetry, membership, configuration} = options;
  const {self} = membership;
  const claims: Mirror<LeaderRecord> = createMirror(store, 'leaders/');
  const records: Mirror<PoolRecord> = createMirror(store, 'pools/');
  const elections = createElections({
    store,
    memberId: self.id,
    claims,
    records,
  });
  const led = createObservableValue<ReadonlyMap<string, number>>(new Map());
  let stopping = false;
  let pending = false;

  const actor = createActor<undefined, Message>({
    system,
    name: 'leadership',
    initial: undefined,
    log: telemetry.log,
    handle: async (_, message) => {
      if (message.kind === MessageKind.Review) {
        pending = false;
        await review();
      } else {
        await releaseAll();
      }
      if (message.reply) dispatch(message.reply, true);
      return undefined;
    },
  });

  async function review(): Promise<void> {
    const leaseId = membership.getLease();
    const known = configuration.get();
    if (!leaseId || !claims.synced.get() || !records.synced.get()) return;
    if (stopping || !known) return;
    const pools = known.profiles.map(profile => profile.pool);
    const leaders = new Map(
      [...claims.entries.get().values()].map(({value}) => [
        value.pool,
        value.memberId,
      ]),
    );
    const members = membership.members.get();
    const assigned = assignLeaders(pools, members, leaders);
    const involved = new Set([...pools, ...led.get().keys()]);
    for (const [pool, leader] of leaders) {
      if (leader === self.id) involved.add(pool);
    }
    await Promise.all(
      [...involved].map(pool =>
        reviewPool(pool, assigned.get(pool) === self.id, leaseId),
      ),
    );
  }

  async function reviewPool(
    pool: string,
    wanted: boolean,
    leaseId: string,
  ): Promise<void> {
    dropIfLost(pool, leaseId);
    const claim = claims.entries.get().get(claimKey(pool))?.value;
    const mine = claim?.memberId === self.id && claim.leaseId === leaseId;
    if (!wanted)
      return mine ? release(pool, 'is assigned elsewhere') : undefined;
    const vacant = !claim || (claim.memberId === self.id && !mine);
    if (mine && !led.get().has(pool)) return lead(pool);
    if (!vacant) return;
    if (await elections.claim(pool, leaseId)) await lead(pool);
  }

  function dropIfLost(pool: string, leaseId: string): void {
    const term = led.get().get(pool);
    if (term === undefined) return;
    const claim = claims.entries.get().get(claimKey(pool))?.value;
    const record = records.entries.get().get(poolKey(pool))?.value;
    if (!claim) return drop(pool, 'its claim is gone');
    if (claim.memberId !== self.id) {
      return drop(pool, `${claim.memberId} holds the claim`);
    }
    if (claim.leaseId !== leaseId) {
      return drop(pool, 'its claim was made under an earlier lease');
    }
    if (record?.term !== term || record.leader !== self.id) {
      drop(pool, `the pool is at term ${record?.term ?? 0}`);
    }
  }

  async function lead(pool: string): Promise<void> {
    const term = await elections.raiseTerm(pool);
    if (term === undefined || stopping || !membership.getLease()) return;
    led.set(new Map(led.get()).set(pool, term));
    telemetry.recordDecision({
      kind: DecisionKind.Lead,
      subject: pool,
      pool,
      cause: `${self.id} leads ${pool} from term ${term}`,
      inputs: {term},
    });
  }

  function drop(pool: string, cause: string): void {
    const term = led.get().get(pool);
    if (term === undefined) return;
    const rest = new Map(led.get());
    rest.delete(pool);
    led.set(rest);
    telemetry.recordDecision({
      kind: DecisionKind.StepDown,
      subject: pool,
      pool,
      cause: `${self.id} no longer leads ${pool}: ${cause}`,
      inputs: {term},
    });
  }

  async function release(pool: string, cause: string): Promise<void> {
    drop(pool, cause);
    await elections.release(pool);
  }

  async function releaseAll(): Promise<void> {
    stopping = true;
    const claimed = [...claims.entries.get().values()]
      .filter(({value}) => value.memberId === self.id)
      .map(({value}) => value.pool);
    const pools = new Set([...led.get().keys(), ...claimed]);
    await Promise.all([...pools].map(pool => release(pool, 'it stops')));
  }

  /** Acts outside of the actor, which may be waiting for the store. */
  function checkLease(): void {
    if (led.get().size === 0 || membership.getLease()) return;
    const dropped = led.get();
    led.set(new Map());
    for (const [pool, term] of dropped) {
      telemetry.recordDecision({
        kind: DecisionKind.StepDown,
        subject: pool,
        pool,
        cause: `${self.id} no longer leads ${pool}: its lease is uncertain`,
        inputs: {term},
      });
    }
  }

  function reviewSoon(): void {
    if (pending) return;
    pending = true;
    actor.tell({kind: MessageKind.Review});
  }

  const stops = [
    claims.entries.onChange(reviewSoon),
    records.entries.onChange(reviewSoon),
    membership.members.onChange(reviewSoon),
    configuration.onChange(reviewSoon),
  ];
  const reviewTicker = createTicker(REVIEW_MS, reviewSoon);
  const leaseTicker = createTicker(LEASE_CHECK_MS, checkLease);

  return {
    led,
    getLeaders: () =>
      new Map(
        [...claims.entries.get().values()].map(({value}) => [
          value.pool,
          value,
        ]),
      ),
    async stepDown() {
      await actor.ask(reply => ({kind: MessageKind.StepDown, reply}));
    },
    dispose() {
      leaseTicker.dispose();
      reviewTicker.dispose();
      stops.forEach(stop => stop());
      elections.dispose();
      claims.dispose();
      records.dispose();
      actor.dispose();
    },
  };
}
