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
import {sendOrders} from './host_orders';
import {HostProbes, createHostProbes} from './host_probes';
import {createAssignmentReconciler} from './assignment_reconciler';
import {recordChanges} from './ledger_decisions';
import {Ledger, createLedgerStore} from './ledger_store';
import {findMove} from './moves';
import {Quarantine, addQuarantine} from './quarantine';
import {findRebootLimit} from './reboot_limit';
import {createWaveReviewer} from './wave_reviewer';

/** Reviews of a pool by its leader; calls must not overlap. */
export interface PoolReview {
  readonly probes: HostProbes;
  /**
   * Reads the ledger; undefined if it can't be read or belongs to another term.
   */
  load(): Promise<Ledger | undefined>;
  /**
   * Reviews the pool and returns its ledger; undefined if the ledger has to be
   * read again.
   */
  review(ledger: Ledger): Promise<Ledger | undefined>;
  /** Quarantines a host if the budget allows it. */
  quarantine(
    ledger: Ledger | undefined,
    quarantine: Quarantine,
  ): Promise<QuarantineReview>;
}

/** Result of a quarantine; without a ledger the record has to be read again. */
export interface QuarantineReview {
  readonly ledger?: Ledger;
  readonly result: Result<Unavailability, RefusalReason>;
}

/** Dependencies of the pool review. */
export interface PoolReviewOptions {
  readonly store: Store;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly view: FleetView;
  readonly pool: string;
  /** Term in which this member leads the pool. */
  readonly term: number;
  /** Returns the pool's active profile, if there is one. */
  readonly getProfile: () => Profile | undefined;
  /** Returns the active configuration; without it no host moves. */
  readonly getConfiguration?: () => Configuration | undefined;
  /** Called when a probe observes a change that requires a review. */
  readonly onObservationChange: () => void;
}

const MAX_SAVE_ATTEMPTS = 3;

/** Creates the review of a pool for one leadership term. */
export function createPoolReview(options: PoolReviewOptions): PoolReview {
  const {store, workers, telemetry, view, pool, term} = options;
  const ledgers = createLedgerStore(store, view, pool, term);
  const assignments = createAssignmentStore(store, view, `${pool}#${term}`);
  const reconciler = createAssignmentReconciler({
    view,
    telemetry,
    assignments,
    pool,
  });
  const waveReviewer = createWaveReviewer({store, view, telemetry, pool});
  const probes = createHostProbes(
    workers,
    options.onObservationChange,
    telemetry.errors,
  );

  async function review(ledger: Ledger): Promise<Ledger | undefined> {
    if (!view.isComplete() || isSuperseded()) return ledger;
    await reconciler.reconcile(ledger.record.unavailable, probes.observations);
    const next = await reviewLedgerOnce(ledger);
    if (next && !isSuperseded()) await sendHostOrders(next);
    await waveReviewer.review();
    return next;
  }

  async function reviewLedgerOnce(ledger: Ledger): Promise<Ledger | undefined> {
    const profile = options.getProfile();
    if (!profile) return ledger;
    const assigned = view.getPoolAssignments(pool);
    const reviewed = reviewLedger({
      now: Date.now(),
      profile,
      unavailable: ledger.record.unavailable,
      hosts: view.getListedHosts(pool),
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
    recordChanges(telemetry, saved.ledger.record, reviewed.changes, budget);
    return saved.ledger;
  }

  /**
   * Rewrites the assignments of hosts whose moves are cancelled.
   *
   * The new versions make a delayed reassignment by an earlier leader conflict.
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
      if (!view.getPoolAssignments(pool).has(hostId)) continue;
      const outcome = await assignments.change(hostId, {});
      if (outcome !== WriteOutcome.Written) return false;
    }
    return true;
  }

  async function sendHostOrders(ledger: Ledger): Promise<void> {
    const ordered = await sendOrders(workers, {
      hosts: view.getListedHosts(pool),
      assignments: view.getPoolAssignments(pool),
      unavailable: ledger.record.unavailable,
      observations: probes.observations,
      waves: view.listWaves(),
      term,
    });
    ordered.forEach(probes.probeNow);
  }

  async function quarantine(
    known: Ledger | undefined,
    requested: Quarantine,
  ): Promise<QuarantineReview> {
    let ledger = known;
    if (!view.getPoolAssignments(pool).has(requested.hostId)) {
      return {ledger, result: Result.err(RefusalReason.NotFound)};
    }
    for (let attempts = 0; attempts < MAX_SAVE_ATTEMPTS; attempts += 1) {
      ledger ??= await ledgers.load();
      const profile = options.getProfile();
      if (!ledger || !profile) break;
      const inputs = {
        ledger,
        ledgers,
        profile,
        quarantine: requested,
        telemetry,
      };
      const added = await addQuarantine(inputs);
      if (added.ledger) return added;
      ledger = undefined;
    }
    return {result: Result.err(RefusalReason.StoreUnavailable)};
  }

  /**
   * Whether the record shows a newer term, i.e. another leader has taken over.
   */
  function isSuperseded(): boolean {
    return (view.getRecord(pool)?.term ?? 0) > term;
  }

  return {probes, load: ledgers.load, review, quarantine};
}
