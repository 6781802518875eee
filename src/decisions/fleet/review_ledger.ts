import {
  DecisionKind,
  Host,
  HostAssignment,
  HostState,
  Profile,
  Unavailability,
  Wave,
} from '../../types';
import {spendBudget} from './budget';
import {Move} from './choose_move';
import {HostChange, reviewHost} from './host_review';
import {chooseDrains, needsDrain} from './next_drains';
import {Observation, isFailed} from './observation';
import {ROTATION} from './rotation';

/** Inputs of a review of a pool's ledger. */
export interface LedgerInputs {
  /** Current time in ms since the epoch. */
  readonly now: number;
  readonly profile: Profile;
  readonly unavailable: readonly Unavailability[];
  /** The pool's listed hosts by id. */
  readonly hosts: ReadonlyMap<string, Host>;
  /**
   * Assignments of the pool's hosts by id, including hosts that are not listed.
   */
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  readonly waves: readonly Wave[];
  readonly observations: ReadonlyMap<string, Observation>;
  /** Maximum time for a reboot, in ms. */
  readonly rebootLimitMs: number;
  /** Move to start if the budget allows it. */
  readonly move?: Move;
}

/** The ledger after a review, with the changes made. */
export interface LedgerReview {
  readonly unavailable: readonly Unavailability[];
  readonly changes: readonly HostChange[];
}

/**
 * Determines the next ledger of a pool.
 *
 * Lost hosts are recorded regardless of the budget. If they exceed it,
 * reachable hosts that are draining or moving return to service. The remaining
 * budget is spent on a move and on drains in the same review, so that a single
 * write frees and spends it.
 *
 * @param inputs the state of the pool as known to its leader
 */
export function reviewLedger(inputs: LedgerInputs): LedgerReview {
  const changes: HostChange[] = [];
  let unavailable = dropUnassigned(inputs, changes);
  unavailable = reviewHosts(inputs, unavailable, changes);
  unavailable = returnExcessDrains(inputs, unavailable, changes);
  unavailable = startMove(inputs, unavailable, changes);
  unavailable = startDrains(inputs, unavailable, changes);
  return {unavailable, changes};
}

function dropUnassigned(
  inputs: LedgerInputs,
  changes: HostChange[],
): readonly Unavailability[] {
  return inputs.unavailable.filter(entry => {
    if (inputs.assignments.has(entry.hostId)) return true;
    changes.push({
      hostId: entry.hostId,
      kind: DecisionKind.Return,
      cause: `${entry.hostId} is no longer in ${inputs.profile.pool}`,
      from: entry.state,
    });
    return false;
  });
}

function reviewHosts(
  inputs: LedgerInputs,
  unavailable: readonly Unavailability[],
  changes: HostChange[],
): readonly Unavailability[] {
  const entries = new Map(unavailable.map(entry => [entry.hostId, entry]));
  const isolated = isIsolated(inputs);
  for (const [hostId, assignment] of inputs.assignments) {
    const entry = entries.get(hostId);
    const change = reviewHost({
      hostId,
      now: inputs.now,
      host: inputs.hosts.get(hostId),
      assignment,
      entry,
      observation: isolated ? undefined : inputs.observations.get(hostId),
      drainNeeded: isDrainNeeded(inputs, entry, assignment),
      maintenanceRecorded: isMaintained(entry, assignment),
      rebootLimitMs: inputs.rebootLimitMs,
    });
    if (!change) continue;
    changes.push(change);
    if (change.entry) entries.set(hostId, change.entry);
    else entries.delete(hostId);
  }
  return [...entries.values()];
}

/**
 * Returns whether all hosts have failed, in which case the leader itself is
 * probably disconnected.
 */
function isIsolated({hosts, observations, now}: LedgerInputs): boolean {
  if (hosts.size < 2) return false;
  return [...hosts.keys()].every(hostId => {
    const seen = observations.get(hostId);
    return seen !== undefined && isFailed(seen, now);
  });
}

function isDrainNeeded(
  inputs: LedgerInputs,
  entry: Unavailability | undefined,
  assignment: HostAssignment,
): boolean {
  if (!entry || entry.waveId === ROTATION) return true;
  return inputs.waves.some(wave => needsDrain(wave, entry.hostId, assignment));
}

function isMaintained(
  entry: Unavailability | undefined,
  {lastMaintainedAt}: HostAssignment,
): boolean {
  return entry?.rebootAt !== undefined && lastMaintainedAt >= entry.rebootAt;
}

function returnExcessDrains(
  inputs: LedgerInputs,
  unavailable: readonly Unavailability[],
  changes: HostChange[],
): readonly Unavailability[] {
  let excess = unavailable.length - inputs.profile.maxUnavailable;
  if (excess <= 0) return unavailable;
  const returned = new Set<string>();
  const newestFirst = [...unavailable].sort((a, b) => b.since - a.since);
  for (const entry of newestFirst) {
    if (excess <= 0) break;
    const draining =
      entry.state === HostState.Draining || entry.state === HostState.Moving;
    const seen = inputs.observations.get(entry.hostId);
    if (!draining || !seen?.reachable) continue;
    excess -= 1;
    returned.add(entry.hostId);
    changes.push({
      hostId: entry.hostId,
      kind: DecisionKind.Return,
      cause: `${entry.hostId} returns before its reboot: losses exceed the budget`,
      from: entry.state,
    });
  }
  return unavailable.filter(entry => !returned.has(entry.hostId));
}

function startMove(
  inputs: LedgerInputs,
  unavailable: readonly Unavailability[],
  changes: HostChange[],
): readonly Unavailability[] {
  const {move, now} = inputs;
  if (!move || !inputs.observations.get(move.hostId)?.reachable) {
    return unavailable;
  }
  const entry: Unavailability = {
    hostId: move.hostId,
    state: HostState.Moving,
    since: now,
    movesTo: move.to,
    cause: `${move.hostId} moves to ${move.to}: ${move.cause}`,
  };
  const budget = inputs.profile.maxUnavailable;
  const spent = spendBudget(unavailable, [entry], budget);
  if (!spent) return unavailable;
  changes.push({
    hostId: move.hostId,
    kind: DecisionKind.Move,
    cause: entry.cause,
    from: HostState.Active,
    entry,
  });
  return spent;
}

function startDrains(
  inputs: LedgerInputs,
  unavailable: readonly Unavailability[],
  changes: HostChange[],
): readonly Unavailability[] {
  const changed = new Set(changes.map(change => change.hostId));
  const unchanged = [...inputs.hosts].filter(
    ([hostId]) => !changed.has(hostId),
  );
  const hosts = new Map(unchanged);
  const drains = chooseDrains({...inputs, hosts, unavailable});
  const added = drains.map(({hostId, waveId}) => ({
    hostId,
    waveId,
    state: HostState.Draining as const,
    since: inputs.now,
    cause: `${hostId} is drained for ${waveId}`,
  }));
  if (added.length === 0) return unavailable;
  const spent = spendBudget(unavailable, added, inputs.profile.maxUnavailable);
  if (!spent) return unavailable;
  for (const entry of added) {
    changes.push({
      hostId: entry.hostId,
      kind: DecisionKind.Drain,
      cause: entry.cause,
      from: HostState.Active,
      entry,
    });
  }
  return spent;
}
