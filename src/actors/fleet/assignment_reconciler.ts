import {
  Observation,
  coversHost,
  hasRebooted,
  isEmpty,
} from '../../decisions/fleet';
import {WriteOutcome} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  HostState,
  Unavailability,
  Wave,
  WaveState,
} from '../../types';
import {AssignmentStore} from './assignment_store';
import {FleetView} from './fleet_view';

/** Reconciles the assignments of a pool's hosts with the pool's ledger. */
export interface AssignmentReconciler {
  /**
   * Adopts new hosts, records completed maintenance, reassigns moved hosts and
   * retires lost ones.
   */
  reconcile(
    unavailable: readonly Unavailability[],
    observations: ReadonlyMap<string, Observation>,
  ): Promise<void>;
}

/** Dependencies of the assignment reconciler. */
export interface AssignmentReconcilerOptions {
  readonly view: FleetView;
  readonly telemetry: Telemetry;
  readonly assignments: AssignmentStore;
  readonly pool: string;
}

/** Time after which a host that announced its departure is retired. */
const LEAVING_RETIREMENT_MS = 600_000;
/** Time after which a host that is missing without notice is retired. */
const MISSING_RETIREMENT_MS = 86_400_000;
const NO_RETIREMENT = Infinity;

/** Creates the reconciler of a pool's assignments. */
export function createAssignmentReconciler(
  options: AssignmentReconcilerOptions,
): AssignmentReconciler {
  const {view, telemetry, assignments, pool} = options;

  async function adoptNewHosts(): Promise<void> {
    const assigned = view.getAssignments();
    const newHosts = (view.hosts.get() ?? []).filter(
      host => host.initialPool === pool && !assigned.has(host.id),
    );
    await Promise.all(newHosts.map(host => assignments.adopt(host, pool)));
  }

  async function reconcileEntry(
    entry: Unavailability,
    latest: Observation | undefined,
  ): Promise<void> {
    if (hasRebooted(entry, latest)) return recordMaintenance(entry);
    if (entry.state === HostState.Moving) return handOver(entry, latest);
    if (!view.getListedHosts(pool).has(entry.hostId)) return retire(entry);
  }

  async function recordMaintenance(entry: Unavailability): Promise<void> {
    const known = view.getPoolAssignments(pool).get(entry.hostId);
    const rebootAt = entry.rebootAt ?? entry.since;
    if (!known || known.lastMaintainedAt >= rebootAt) return;
    const now = Date.now();
    await assignments.change(entry.hostId, {
      lastMaintainedAt: now,
      maintenanceMs: now - Math.min(entry.since, rebootAt),
      completedWaves: completeWaves(
        known.completedWaves,
        entry.hostId,
        rebootAt,
        view.listWaves(),
      ),
    });
  }

  async function handOver(
    entry: Unavailability,
    latest: Observation | undefined,
  ): Promise<void> {
    if (!entry.movesTo || !latest || !isEmpty(latest, Date.now())) return;
    const outcome = await assignments.change(entry.hostId, {
      pool: entry.movesTo,
      movedFrom: pool,
      movedAt: Date.now(),
    });
    if (outcome !== WriteOutcome.Written) return;
    telemetry.recordDecision({
      kind: DecisionKind.Move,
      subject: entry.hostId,
      pool,
      cause: `${entry.hostId} now belongs to ${entry.movesTo}`,
      inputs: {from: pool, to: entry.movesTo},
    });
  }

  async function retire(entry: Unavailability): Promise<void> {
    const absentMs = Date.now() - entry.since;
    if (absentMs < getRetirementDelayMs(entry.state)) return;
    const outcome = await assignments.retire(entry.hostId);
    if (outcome !== WriteOutcome.Written) return;
    telemetry.recordDecision({
      kind: DecisionKind.Leave,
      subject: entry.hostId,
      pool,
      cause: `${entry.hostId} was retired after ${absentMs} ms of absence`,
    });
  }

  return {
    async reconcile(unavailable, observations) {
      await adoptNewHosts();
      await Promise.all(
        unavailable.map(e => reconcileEntry(e, observations.get(e.hostId))),
      );
    },
  };
}

function getRetirementDelayMs(state: HostState): number {
  if (state === HostState.Leaving) return LEAVING_RETIREMENT_MS;
  return state === HostState.Missing ? MISSING_RETIREMENT_MS : NO_RETIREMENT;
}

/**
 * Adds the open waves that a reboot satisfies and removes waves that have
 * ended.
 */
function completeWaves(
  completed: readonly string[],
  hostId: string,
  rebootAt: number,
  waves: readonly Wave[],
): readonly string[] {
  const open = waves.filter(
    ({state}) => state === WaveState.Active || state === WaveState.Paused,
  );
  const satisfied = open.filter(
    wave => coversHost(wave, hostId) && wave.declaredAt <= rebootAt,
  );
  const kept = completed.filter(id => open.some(wave => wave.id === id));
  return [...new Set([...kept, ...satisfied.map(wave => wave.id)])];
}
