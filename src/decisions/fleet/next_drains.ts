import {Host, HostAssignment, Profile, Unavailability} from '../../types';
import {Wave, WaveState} from '../../types';
import {Observation} from './observation';
import {ROTATION, findRotationTime} from './rotation';

/** Inputs of the choice of the next drains. */
export interface DrainInputs {
  /** Current time in ms since the epoch. */
  readonly now: number;
  readonly profile: Profile;
  readonly unavailable: readonly Unavailability[];
  /** The pool's listed hosts by id. */
  readonly hosts: ReadonlyMap<string, Host>;
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  readonly waves: readonly Wave[];
  readonly observations: ReadonlyMap<string, Observation>;
}

/** A host to drain for a wave or for the rotation. */
export interface Drain {
  readonly hostId: string;
  readonly waveId: string;
}

interface Candidate extends Drain {
  /** Position of its wave in the order of waves; the rotation comes last. */
  readonly order: number;
  readonly host: Host;
}

/**
 * Maximum number of hosts drained for the rotation at a time; waves may use the
 * whole budget.
 */
const ROTATION_LIMIT = 1;

/**
 * Chooses the hosts to drain now, within the budget.
 *
 * Urgent waves come first, then those that are due earlier. Within a wave,
 * hosts without running tasks come first, then those in availability zones and
 * racks that are already affected, so that one failure domain is drained at a
 * time.
 *
 * @param inputs the pool's state
 * @returns drains, at most as many as the budget allows
 */
export function chooseDrains(inputs: DrainInputs): readonly Drain[] {
  const left = getRemainingBudget(inputs);
  if (left <= 0) return [];
  const candidates = listCandidates(inputs);
  const chosen: Candidate[] = [];
  while (chosen.length < left && candidates.length > 0) {
    const best = findBest(candidates, chosen, inputs);
    if (best < 0) break;
    chosen.push(candidates[best]);
    candidates.splice(best, 1);
  }
  return chosen.map(({hostId, waveId}) => ({hostId, waveId}));
}

/**
 * Lists the hosts that will be drained next, in order.
 *
 * Placement of long jobs avoids these hosts, so that their drains are short.
 *
 * @param inputs the pool's state
 * @param limit maximum number of hosts to list
 */
export function listNextDrainHosts(
  inputs: DrainInputs,
  limit: number,
): readonly string[] {
  const chosen: Candidate[] = [];
  const candidates = listCandidates(inputs);
  while (chosen.length < limit && candidates.length > 0) {
    const best = findBest(candidates, chosen, inputs);
    if (best < 0) break;
    chosen.push(candidates[best]);
    candidates.splice(best, 1);
  }
  return chosen.map(({hostId}) => hostId);
}

/** Returns whether an active wave still requires a host to be drained. */
export function needsDrain(
  wave: Wave,
  hostId: string,
  assignment: HostAssignment | undefined,
): boolean {
  if (wave.state !== WaveState.Active) return false;
  if (!coversHost(wave, hostId)) return false;
  return !assignment?.completedWaves.includes(wave.id);
}

const hostSets = new WeakMap<Wave, ReadonlySet<string>>();

/**
 * Returns whether a wave covers a host; the set of hosts is built once per wave
 * object.
 */
export function coversHost(wave: Wave, hostId: string): boolean {
  let covered = hostSets.get(wave);
  if (!covered) {
    covered = new Set(wave.hostIds);
    hostSets.set(wave, covered);
  }
  return covered.has(hostId);
}

function getRemainingBudget(inputs: DrainInputs): number {
  const {profile, unavailable, hosts, observations} = inputs;
  const taken = new Set(unavailable.map(entry => entry.hostId));
  let suspects = 0;
  for (const hostId of hosts.keys()) {
    if (taken.has(hostId)) continue;
    if (!observations.get(hostId)?.reachable) suspects += 1;
  }
  return profile.maxUnavailable - unavailable.length - suspects;
}

function listCandidates(inputs: DrainInputs): Candidate[] {
  const candidates = new Map<string, Candidate>();
  const taken = new Set(inputs.unavailable.map(entry => entry.hostId));
  sortWaves(inputs.waves).forEach((wave, order) => {
    for (const [hostId, host] of inputs.hosts) {
      if (taken.has(hostId) || candidates.has(hostId)) continue;
      if (!needsDrain(wave, hostId, inputs.assignments.get(hostId))) continue;
      candidates.set(hostId, {hostId, waveId: wave.id, order, host});
    }
  });
  for (const due of listRotationCandidates(inputs, taken)) {
    if (!candidates.has(due.hostId)) candidates.set(due.hostId, due);
  }
  return [...candidates.values()];
}

function listRotationCandidates(
  inputs: DrainInputs,
  taken: ReadonlySet<string>,
): readonly Candidate[] {
  const due: Candidate[] = [];
  for (const [hostId, host] of inputs.hosts) {
    const assignment = inputs.assignments.get(hostId);
    if (!assignment || taken.has(hostId)) continue;
    const time = findRotationTime(assignment, inputs.profile);
    if (time === undefined || time > inputs.now) continue;
    due.push({hostId, waveId: ROTATION, order: inputs.waves.length, host});
  }
  return due;
}

function findBest(
  candidates: readonly Candidate[],
  chosen: readonly Candidate[],
  inputs: DrainInputs,
): number {
  const affected = listAffected(chosen, inputs);
  const racks = new Set(affected.map(host => host.rack));
  const zones = new Set(affected.map(host => host.availabilityZone));
  const rotating = countRotationDrains(chosen, inputs);
  let best = -1;
  let bestScore: readonly (number | string)[] = [];
  candidates.forEach((candidate, i) => {
    if (candidate.waveId === ROTATION && rotating >= ROTATION_LIMIT) return;
    const seen = inputs.observations.get(candidate.hostId);
    const score = [
      candidate.order,
      seen && seen.tasks.length > 0 ? 1 : 0,
      zones.size > 0 && !zones.has(candidate.host.availabilityZone) ? 1 : 0,
      racks.size > 0 && !racks.has(candidate.host.rack) ? 1 : 0,
      seen?.slotsUsed ?? 0,
      candidate.host.rack,
      candidate.hostId,
    ];
    if (best >= 0 && !isBefore(score, bestScore)) return;
    best = i;
    bestScore = score;
  });
  return best;
}

function listAffected(
  chosen: readonly Candidate[],
  inputs: DrainInputs,
): readonly Host[] {
  const known = inputs.unavailable
    .map(entry => inputs.hosts.get(entry.hostId))
    .filter(host => host !== undefined);
  return [...known, ...chosen.map(candidate => candidate.host)];
}

function countRotationDrains(
  chosen: readonly Candidate[],
  inputs: DrainInputs,
): number {
  const now = inputs.unavailable.filter(entry => entry.waveId === ROTATION);
  const next = chosen.filter(candidate => candidate.waveId === ROTATION);
  return now.length + next.length;
}

function isBefore(
  a: readonly (number | string)[],
  b: readonly (number | string)[],
): boolean {
  for (let i = 0; i < a.length; i += 1) {
    if (a[i] !== b[i]) return a[i] < b[i];
  }
  return false;
}

function sortWaves(waves: readonly Wave[]): readonly Wave[] {
  return waves
    .filter(wave => wave.state === WaveState.Active)
    .sort((a, b) => Number(b.urgent) - Number(a.urgent) || a.dueAt - b.dueAt);
}
