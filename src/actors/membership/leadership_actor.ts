import {ActorSystemRef, Ref, dispatch} from 'nact';
import {assignLeaders} from '../../decisions/membership';
import {Store} from '../../ports';
import {
  Backoff,
  Mirror,
  ObservableValue,
  createBackoff,
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

/** Leadership of pools by this member and the known leaders of all pools. */
export interface LeadershipActor {
  /** Terms of the pools that this member leads under a valid lease, by pool. */
  readonly ledPools: ObservableValue<ReadonlyMap<string, number>>;
  /** Returns the last known leader of each pool. */
  getLeaders(): ReadonlyMap<string, LeaderRecord>;
  /**
   * Ends terms at once, because their state may no longer be sound. Their pools
   * are led again after a delay, which grows if this happens repeatedly.
   *
   * @param pools pools whose terms end; by default, all that this member leads
   */
  endTerms(cause: string, pools?: readonly string[]): void;
  /** Releases the leadership of all pools and acquires no more. */
  stepDown(): Promise<void>;
  dispose(): void;
}

/** Dependencies of the leadership actor. */
export interface LeadershipOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly telemetry: Telemetry;
  readonly membership: MembershipActor;
  readonly configuration: ObservableValue<Configuration | undefined>;
}

enum MessageKind {
  Review,
  EndTerms,
  StepDown,
}

interface Message {
  readonly kind: MessageKind;
  readonly reply?: Ref<boolean>;
}

const REVIEW_INTERVAL_MS = 500;
/** Interval of lease checks while this member leads pools. */
const LEASE_CHECK_INTERVAL_MS = 100;
/** Time without ended terms after which the delay is short again, in ms. */
const CALM_PERIOD_MS = 60_000;

/** Time for which a member does not lead a pool after it ended its term. */
interface Pause {
  /** Monotonic time in ms of the end. */
  readonly until: number;
  readonly backoff: Backoff;
}

/** Creates the actor that acquires and releases the leadership of pools. */
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
  const ledTerms = createObservableValue<ReadonlyMap<string, number>>(
    new Map(),
  );
  const pauses = new Map<string, Pause>();
  let stopping = false;
  let reviewQueued = false;

  const actor = createActor<undefined, Message>({
    system,
    name: 'leadership',
    initial: undefined,
    errors: telemetry.errors,
    handle: async (_, message) => {
      if (message.kind === MessageKind.Review) {
        reviewQueued = false;
        await review();
      } else {
        stopping ||= message.kind === MessageKind.StepDown;
        await releasePaused();
      }
      if (message.reply) dispatch(message.reply, true);
      return undefined;
    },
  });

  async function review(): Promise<void> {
    const leaseId = membership.getLease();
    const current = configuration.get();
    if (!leaseId || !claims.synced.get() || !records.synced.get()) return;
    if (stopping || !current) return;
    const pools = current.profiles.map(profile => profile.pool);
    const leaders = new Map(
      [...claims.entries.get().values()].map(({value}) => [
        value.pool,
        value.memberId,
      ]),
    );
    const members = membership.members.get();
    const assigned = assignLeaders(pools, members, leaders);
    const involved = new Set([...pools, ...ledTerms.get().keys()]);
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
    assigned: boolean,
    leaseId: string,
  ): Promise<void> {
    stopLeadingIfLost(pool, leaseId);
    if (isPaused(pool)) return;
    const claim = claims.entries.get().get(claimKey(pool))?.value;
    const ownsClaim = claim?.memberId === self.id && claim.leaseId === leaseId;
    if (!assigned)
      return ownsClaim ? release(pool, 'it is assigned elsewhere') : undefined;
    const vacant = !claim || (claim.memberId === self.id && !ownsClaim);
    if (ownsClaim && !ledTerms.get().has(pool)) return lead(pool);
    if (!vacant) return;
    if (await elections.claim(pool, leaseId)) await lead(pool);
  }

  function stopLeadingIfLost(pool: string, leaseId: string): void {
    const term = ledTerms.get().get(pool);
    if (term === undefined) return;
    const claim = claims.entries.get().get(claimKey(pool))?.value;
    const record = records.entries.get().get(poolKey(pool))?.value;
    if (!claim) return stopLeading(pool, 'its claim no longer exists');
    if (claim.memberId !== self.id) {
      return stopLeading(pool, `${claim.memberId} holds the claim`);
    }
    if (claim.leaseId !== leaseId) {
      return stopLeading(pool, 'its claim was made under an earlier lease');
    }
    if (record?.term !== term || record.leader !== self.id) {
      stopLeading(pool, `the pool is at term ${record?.term ?? 0}`);
    }
  }

  async function lead(pool: string): Promise<void> {
    const term = await elections.raiseTerm(pool);
    if (term === undefined || isPaused(pool)) return;
    if (!membership.getLease()) return;
    ledTerms.set(new Map(ledTerms.get()).set(pool, term));
    telemetry.recordDecision({
      kind: DecisionKind.Lead,
      subject: pool,
      pool,
      cause: `${self.id} leads ${pool} from term ${term}`,
      inputs: {term},
    });
  }

  function stopLeading(pool: string, cause: string): void {
    const term = ledTerms.get().get(pool);
    if (term === undefined) return;
    const rest = new Map(ledTerms.get());
    rest.delete(pool);
    ledTerms.set(rest);
    telemetry.recordDecision({
      kind: DecisionKind.StepDown,
      subject: pool,
      pool,
      cause: `${self.id} no longer leads ${pool}: ${cause}`,
      inputs: {term},
    });
  }

  async function release(pool: string, cause: string): Promise<void> {
    stopLeading(pool, cause);
    await elections.release(pool);
  }

  function pause(pool: string): void {
    const now = performance.now();
    const known = pauses.get(pool);
    const isRecent = known && now < known.until + CALM_PERIOD_MS;
    const backoff = isRecent ? known.backoff : createBackoff();
    pauses.set(pool, {backoff, until: now + backoff.next()});
  }

  function isPaused(pool: string): boolean {
    return stopping || performance.now() < (pauses.get(pool)?.until ?? 0);
  }

  /** Releases all pools if this member stops, otherwise the paused ones. */
  async function releasePaused(): Promise<void> {
    const claimed = [...claims.entries.get().values()]
      .filter(({value}) => value.memberId === self.id)
      .map(({value}) => value.pool);
    const pools = new Set(
      [...ledTerms.get().keys(), ...claimed].filter(isPaused),
    );
    await Promise.all(
      [...pools].map(pool => release(pool, 'this member is shutting down')),
    );
  }

  /**
   * Stops leading all pools once the lease may have expired.
   *
   * Runs outside of the actor, whose queue may be blocked by a call to the
   * store.
   */
  function checkLease(): void {
    if (ledTerms.get().size === 0 || membership.getLease()) return;
    const dropped = ledTerms.get();
    ledTerms.set(new Map());
    for (const [pool, term] of dropped) {
      telemetry.recordDecision({
        kind: DecisionKind.StepDown,
        subject: pool,
        pool,
        cause: `${self.id} no longer leads ${pool}: its lease may have expired`,
        inputs: {term},
      });
    }
  }

  function requestReview(): void {
    if (reviewQueued) return;
    reviewQueued = true;
    actor.tell({kind: MessageKind.Review});
  }

  const unsubscribers = [
    claims.entries.onChange(requestReview),
    records.entries.onChange(requestReview),
    membership.members.onChange(requestReview),
    configuration.onChange(requestReview),
  ];
  const reviewTicker = createTicker({
    intervalMs: REVIEW_INTERVAL_MS,
    activity: 'leadership-review',
    tick: requestReview,
    errors: telemetry.errors,
  });
  const leaseTicker = createTicker({
    intervalMs: LEASE_CHECK_INTERVAL_MS,
    activity: 'lease-check',
    tick: checkLease,
    errors: telemetry.errors,
  });

  return {
    ledPools: ledTerms,
    getLeaders: () =>
      new Map(
        [...claims.entries.get().values()].map(({value}) => [
          value.pool,
          value,
        ]),
      ),
    endTerms(cause, pools = [...ledTerms.get().keys()]) {
      for (const pool of pools) {
        pause(pool);
        stopLeading(pool, cause);
      }
      actor.tell({kind: MessageKind.EndTerms});
    },
    async stepDown() {
      await actor.ask(reply => ({kind: MessageKind.StepDown, reply}));
    },
    dispose() {
      leaseTicker.dispose();
      reviewTicker.dispose();
      unsubscribers.forEach(stop => stop());
      elections.dispose();
      claims.dispose();
      records.dispose();
      actor.dispose();
    },
  };
}
