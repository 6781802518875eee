import {ActorSystemRef, Ref, dispatch} from 'nact';
import {Result} from 'true-myth';
import {reviewLedger} from '../../decisions/fleet';
import {Store, Workers} from '../../ports';
import {WriteOutcome} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Configuration,
  HostState,
  Profile,
  RefusalReason,
  Unavailability,
} from '../../types';
import {createActor, createTicker} from '../shared';
import {createAssignmentStore} from './assignment_store';
import {FleetView} from './fleet_view';
import {giveOrders} from './host_orders';
import {createHostProbes} from './host_probes';
import {createHostUpkeep} from './host_upkeep';
import {noteChanges} from './ledger_notes';
import {Ledger, createLedgerStore} from './ledger_store';
import {findMove} from './moves';
import {Quarantine, addQuarantine} from './quarantine';
import {findRebootLimit} from './reboot_limit';
import {createWaveKeeper} from './wave_keeper';

/** The leader's keeper of one pool's hosts, budget ledger, drains and moves. */
export interface PoolFleetActor {
  /** Takes a host out of service within the budget, until an operator releases it. */
  quarantine(
    hostId: string,
    cause: string,
  ): Promise<Result<Unavailability, RefusalReason>>;
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface PoolFleetOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly view: FleetView;
  readonly pool: string;
  /** Term under which this member leads the pool. */
  readonly term: number;
  /** Returns the pool's profile in force, if there is one. */
  readonly getProfile: () => Profile | undefined;
  /** Returns the configuration in force; without it no host moves. */
  readonly getConfiguration?: () => Configuration | undefined;
}

enum MessageKind {
  Review,
  Quarantine,
}

interface ReviewMessage {
  readonly kind: MessageKind.Review;
}

interface QuarantineMessage {
  readonly kind: MessageKind.Quarantine;
  readonly quarantine: Quarantine;
  readonly reply: Ref<Result<Unavailability, RefusalReason>>;
}

type Message = ReviewMessage | QuarantineMessage;

const TICK_MS = 100;
/** Ticks between two reviews without news. */
const REVIEW_TICKS = 10;
const SAVE_TRIES = 3;

/** Creates the actor that keeps a led pool's hosts within its budget. */
export function createPoolFleetActor(
  options: PoolFleetOptions,
): PoolFleetActor {
  const {system, store, workers, telemetry, view, pool, term} = options;
  const ledgers = createLedgerStore(store, view, pool, term);
  const assignments = createAssignmentStore(store, view, `${pool}#${term}`);
  const upkeep = createHostUpkeep({view, telemetry, assignments, pool});
  const keeper = createWaveKeeper({store, view, telemetry, pool});
  const probes = createHostProbes(workers, requestReview);
  let reviewQueued = false;
  let ticks = 0;

  const actor = createActor<Ledger | undefined, Message>({
    system,
    name: `fleet-${pool}-${term}`,
    initial: undefined,
    log: telemetry.log,
    handle: async (state, message) => {
      if (message.kind === MessageKind.Review) reviewQueued = false;
      const ledger = state ?? (await ledgers.load());
      if (message.kind === MessageKind.Quarantine) {
        return quarantine(ledger, message);
      }
      return ledger && review(ledger);
    },
  });

  async function review(ledger: Ledger): Promise<Ledger | undefined> {
    const profile = options.getProfile();
    if (!profile || !view.isComplete() || isSuperseded()) return ledger;
    await upkeep.review(ledger.record.unavailable, probes.observations);
    const next = await reviewOnce(ledger, profile);
    if (next) await order(next);
    await keeper.review();
    return next;
  }

  async function reviewOnce(
    ledger: Ledger,
    profile: Profile,
  ): Promise<Ledger | undefined> {
    const assigned = view.getAssigned(pool);
    const reviewed = reviewLedger({
      now: Date.now(),
      profile,
      unavailable: ledger.record.unavailable,
      hosts: view.getListed(pool),
      assignments: assigned,
      waves: view.listWaves(),
      observations: probes.observations,
      rebootLimitMs: findRebootLimit(assigned),
      move: findMove(view, pool, options.getConfiguration?.()),
    });
    if (reviewed.changes.length === 0) return ledger;
    if (!(await fenceMoves(ledger, reviewed.unavailable))) return ledger;
    const saved = await ledgers.save(
      ledger,
      reviewed.unavailable,
      profile.maxUnavailable,
    );
    if (saved.outcome === WriteOutcome.Unavailable) {
      telemetry.refused(pool, RefusalReason.StoreUnavailable);
      return ledger;
    }
    if (!saved.ledger) return undefined;
    const record = saved.ledger.record;
    noteChanges(telemetry, record, reviewed.changes, profile.maxUnavailable);
    return saved.ledger;
  }

  /**
   * Rewrites the assignments of moves that are given up, so that a hand-over
   * that an earlier leader sent can't take effect afterwards.
   */
  async function fenceMoves(
    {record}: Ledger,
    unavailable: Ledger['record']['unavailable'],
  ): Promise<boolean> {
    const kept = new Set(
      unavailable
        .filter(entry => entry.state === HostState.Moving)
        .map(entry => entry.hostId),
    );
    for (const {state, hostId} of record.unavailable) {
      if (state !== HostState.Moving || kept.has(hostId)) continue;
      if (!view.getAssigned(pool).has(hostId)) continue;
      const outcome = await assignments.change(hostId, {});
      if (outcome !== WriteOutcome.Written) return false;
    }
    return true;
  }

  async function order(ledger: Ledger): Promise<void> {
    const ordered = await giveOrders(workers, {
      hosts: view.getListed(pool),
      unavailable: ledger.record.unavailable,
      observations: probes.observations,
      waves: view.listWaves(),
      term,
    });
    ordered.forEach(probes.hasten);
  }

  async function quarantine(
    state: Ledger | undefined,
    {quarantine, reply}: QuarantineMessage,
  ): Promise<Ledger | undefined> {
    let ledger = state;
    let result: Result<Unavailability, RefusalReason> = Result.err(
      RefusalReason.StoreUnavailable,
    );
    for (let tries = 0; tries < SAVE_TRIES; tries += 1) {
      ledger ??= await ledgers.load();
      const profile = options.getProfile();
      if (!ledger || !profile) break;
      const added = await addQuarantine({
        ledger,
        ledgers,
        profile,
        quarantine,
        telemetry,
      });
      ledger = added.ledger;
      result = added.result;
      if (ledger) break;
    }
    if (result.isErr) telemetry.refused(pool, result.error);
    dispatch(reply, result);
    return ledger;
  }

  /** Tells whether a newer leader is known to have taken over. */
  function isSuperseded(): boolean {
    return (view.getRecord(pool)?.term ?? 0) > term;
  }

  function requestReview(): void {
    if (reviewQueued) return;
    reviewQueued = true;
    actor.tell({kind: MessageKind.Review});
  }

  function tick(): void {
    const inMotion = view.getRecord(pool)?.unavailable ?? [];
    probes.probeDue(
      view.getListed(pool),
      new Set(inMotion.map(entry => entry.hostId)),
    );
    if (ticks % REVIEW_TICKS === 0) requestReview();
    ticks += 1;
  }

  const ticker = createTicker(TICK_MS, tick);
  const stopFollowing = view.waves.entries.onChange(requestReview);

  return {
    quarantine: (hostId, cause) =>
      actor.ask(reply => ({
        kind: MessageKind.Quarantine,
        quarantine: {hostId, cause},
        reply,
      })),
    dispose() {
      ticker.dispose();
      stopFollowing();
      actor.dispose();
    },
  };
}
