import {HostAssignment, PoolHost, PoolRecord, Profile, Wave} from '../../types';
import {WaveState} from '../../types';
import {budgetLeft} from './budget';

/** What the choice of the next drains rests on. */
export interface DrainInputs {
  readonly profile: Profile;
  readonly record: PoolRecord;
  readonly hosts: readonly PoolHost[];
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  readonly waves: readonly Wave[];
}

/** A host to drain for a wave. */
export interface Drain {
  readonly hostId: string;
  readonly waveId: string;
}

/**
 * Chooses the hosts to drain now, within the budget.
 *
 * @param inputs the pool's state
 * @returns as many drains as the budget allows, urgent waves first
 */
export function chooseDrains(inputs: DrainInputs): readonly Drain[] {
  const left = budgetLeft(inputs.profile, inputs.record);
  if (left <= 0) return [];
  const unavailable = new Set(inputs.record.unavailable.map(u => u.hostId));
  const drains = new Map<string, Drain>();
  for (const wave of sortWaves(inputs.waves)) {
    for (const hostId of wave.hostIds) {
      if (drains.has(hostId) || unavailable.has(hostId)) continue;
      if (!inputs.hosts.some(({host}) => host.id === hostId)) continue;
      const assignment = inputs.assignments.get(hostId);
      if (!assignment || assignment.completedWaves.includes(wave.id)) continue;
      drains.set(hostId, {hostId, waveId: wave.id});
    }
  }
  return [...drains.values()].slice(0, left);
}

function sortWaves(waves: readonly Wave[]): readonly Wave[] {
  return waves
    .filter(wave => wave.state === WaveState.Active)
    .sort((a, b) => Number(b.urgent) - Number(a.urgent) || a.dueAt - b.dueAt);
}
