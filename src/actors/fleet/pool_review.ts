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
import {createAssignmentStore} from './assignment_store';
import {FleetView} from './fleet_view';
import {giveOrders} from './host_orders';
import {HostProbes, createHostProbes} from './host_probes';
import {createHostUpkeep} from './host_upkeep';
import {noteChanges} from './ledger_notes';
import {Ledger, createLedgerStore} from './ledger_store';
import {findMove} from './moves';
import {Quarantine, addQuarantine} from './quarantine';
import {findRebootLimit} from './reboot_limit';
import {createWaveKeeper} from './wave_keeper';

/** One leader's reviews of its pool; the caller runs one call at a time. */
export interface PoolReview {
  readonly probes: HostProbes;
  /** Reads the ledger; undefined if it can't be read or isn't this leader's. */
  load(): Promise<Ledger | undefined>;
  /** Reviews the pool; without a result the ledger has to be read again. */
  review(ledger: Ledger): Promise<Ledger | undefined>;
  quarantine(
    ledger: Ledger | undefined,
    quarantine: Quarantine,
  ): Promise<QuarantineReview>;
}

/** What came of a quarantine, with the ledger after it. */
export interface QuarantineReview {
  readonly ledger?: Ledger;
  readonly result: Result<Unavailability, RefusalReason>;
}

/** Where the reviews get what they need. */
export interface PoolReviewOptions {
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
  /** Told when a probe has seen something that calls for a review. */
  readonly onNews: () => void;
}

const SAVE_TRIES = 3;

/** Creates the reviews of a pool under one term. */
export function createPoolReview(options: PoolReviewOptions): PoolReview {
  const {store, workers, telemetry, view, pool, term} = options;
  const ledgers = createLedgerStore(store, view, pool, term);
  const assignments = createAssignmentStore(store, view, `${pool}#${term}`);
  const upkeep = createHostUpkeep({view, telemetry, assignments, pool});
  const keeper = createWaveKeeper({store, view, telemetry, pool});
  const probes = createHostProbes(workers, options.onNews);

  async function review(ledger: Ledger): Promise<Ledger | undefined> {
    if (!view.isComplete() || isSuperseded()) return ledger;
    await upkeep.review(ledger.record.unavailable, probes.observations);
    const next = await reviewOnce(ledger);
    if (next && !isSuperseded()) await order(next);
    await keeper.review();
    return next;
  }

  async function reviewOnce(ledger: Ledger): Promise<Ledger | undefined> {
    const profile = options.getProfile();
    if (!profile) return ledger;
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
    const budget = profile.maxUnavailable;
    const saved = await ledgers.save(ledger, reviewed.unavailable, budget);
    if (saved.outcome === WriteOutcome.Unavailable) {
      telemetry.countRefusal(pool, RefusalReason.StoreUnavailable);
      return ledger;
    }
    if (!saved.ledger) return undefined;
    noteChanges(telemetry, saved.ledger.record, reviewed.changes, budget);
    return saved.ledger;
  }

  /**
   * Rewrites the assignments of moves that are given up, so that a hand-over
   * that an earlier leader sent can't take effect afterwards.
   */
  async function fenceMoves(
    {record}: Ledger,
    unavailable: readonly Unavailability[],
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
      assignments: view.getAssigned(pool),
      unavailable: ledger.record.unavailable,
      observations: probes.observations,
      waves: view.listWaves(),
      term,
    });
    ordered.forEach(probes.hasten);
  }

  async function quarantine(
    known: Ledger | undefined,
    wanted: Quarantine,
  ): Promise<QuarantineReview> {
    let ledger = known;
    if (!view.getAssigned(pool).has(wanted.hostId)) {
      return {ledger, result: Result.err(RefusalReason.NotFound)};
    }
    for (let tries = 0; tries < SAVE_TRIES; tries += 1) {
      ledger ??= await ledgers.load();
      const profile = options.getProfile();
      if (!ledger || !profile) break;
      const inputs = {ledger, ledgers, profile, quarantine: wanted, telemetry};
      const added = await addQuarantine(inputs);
      if (added.ledger) return added;
      ledger = undefined;
    }
    return {result: Result.err(RefusalReason.StoreUnavailable)};
  }

  /** Tells whether a newer leader is known to have taken over. */
  function isSuperseded(): boolean {
    return (view.getRecord(pool)?.term ?? 0) > term;
  }

  return {probes, load: ledgers.load, review, quarantine};
}
