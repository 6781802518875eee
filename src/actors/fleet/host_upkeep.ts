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

/** Keeps the assignments of a led pool's hosts in step with its ledger. */
export interface HostUpkeep {
  /** Adopts new hosts, records maintenance, hands moved hosts over and retires lost ones. */
  review(
    unavailable: readonly Unavailability[],
    observations: ReadonlyMap<string, Observation>,
  ): Promise<void>;
}

/** Where the upkeep gets what it needs. */
export interface HostUpkeepOptions {
  readonly view: FleetView;
  readonly telemetry: Telemetry;
  readonly assignments: AssignmentStore;
  readonly pool: string;
}

/** Absence after which an announced leaver is retired, in ms. */
const RETIRE_LEAVING_MS = 600_000;
/** Absence after which any other host is retired, in ms. */
const RETIRE_MISSING_MS = 86_400_000;
const NO_RETIREMENT = Infinity;

/** Creates the upkeep of a pool's assignments. */
export function createHostUpkeep(options: HostUpkeepOptions): HostUpkeep {
  const {view, telemetry, assignments, pool} = options;

  async function adoptHosts(): Promise<void> {
    const assigned = view.getAssignments();
    const fresh = (view.hosts.get() ?? []).filter(
      host => host.initialPool === pool && !assigned.has(host.id),
    );
    await Promise.all(fresh.map(host => assignments.adopt(host, pool)));
  }

  async function reviewEntry(
    entry: Unavailability,
    seen: Observation | undefined,
  ): Promise<void> {
    if (hasRebooted(entry, seen)) return recordMaintenance(entry);
    if (entry.state === HostState.Moving) return handOver(entry, seen);
    if (!view.getListed(pool).has(entry.hostId)) return retire(entry);
  }

  async function recordMaintenance(entry: Unavailability): Promise<void> {
    const known = view.getAssigned(pool).get(entry.hostId);
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
    seen: Observation | undefined,
  ): Promise<void> {
    if (!entry.movesTo || !seen || !isEmpty(seen, Date.now())) return;
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
    if (absentMs < retirementOf(entry.state)) return;
    const outcome = await assignments.retire(entry.hostId);
    if (outcome !== WriteOutcome.Written) return;
    telemetry.recordDecision({
      kind: DecisionKind.Leave,
      subject: entry.hostId,
      pool,
      cause: `${entry.hostId} has been gone for ${absentMs} ms and is retired`,
    });
  }

  return {
    async review(unavailable, observations) {
      await adoptHosts();
      await Promise.all(
        unavailable.map(e => reviewEntry(e, observations.get(e.hostId))),
      );
    },
  };
}

function retirementOf(state: HostState): number {
  if (state === HostState.Leaving) return RETIRE_LEAVING_MS;
  return state === HostState.Missing ? RETIRE_MISSING_MS : NO_RETIREMENT;
}

/** Adds every wave that one reboot satisfies and drops those that have ended. */
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
