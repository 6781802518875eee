import {HostAssignment, HostState, PoolRecord, Profile} from '../../types';
import {Wave, WaveState} from '../../types';
import {needsDrain} from './next_drains';

/** Inputs of the explanation of a host. */
export interface HostExplanationInputs {
  /** Current time in ms since the epoch. */
  readonly now: number;
  readonly hostId: string;
  readonly assignment?: HostAssignment;
  readonly profile?: Profile;
  readonly record?: PoolRecord;
  readonly waves: readonly Wave[];
}

/**
 * Explains why a host is in its state and what it is waiting for, one sentence
 * per line.
 *
 * @param inputs what this member knows of the host and its pool
 */
export function explainHost(inputs: HostExplanationInputs): readonly string[] {
  const {hostId, assignment, profile, record} = inputs;
  if (!assignment) return [`${hostId} belongs to no pool yet`];
  const entry = record?.unavailable.find(known => known.hostId === hostId);
  const lines = [`${hostId} belongs to ${assignment.pool}`];
  if (entry) {
    const seconds = Math.round((inputs.now - entry.since) / 1_000);
    lines.push(`it has been ${entry.state} for ${seconds} s: ${entry.cause}`);
    if (entry.state === HostState.Draining) {
      lines.push('it reboots once its requests and long work have ended');
    }
    return lines;
  }
  const pendingWaves = inputs.waves.filter(wave =>
    needsDrain(wave, hostId, assignment),
  );
  for (const wave of pendingWaves) lines.push(`${wave.id} will drain it`);
  for (const wave of inputs.waves) {
    if (wave.state !== WaveState.Paused) continue;
    if (!wave.hostIds.includes(hostId)) continue;
    if (assignment.completedWaves.includes(wave.id)) continue;
    lines.push(`${wave.id} is paused: ${wave.cause}`);
  }
  if (pendingWaves.length > 0) lines.push(...explainBudget(profile, record));
  return lines;
}

/** Explains which hosts use up a pool's budget, one sentence per line. */
export function explainBudget(
  profile: Profile | undefined,
  record: PoolRecord | undefined,
): readonly string[] {
  if (!profile) return ['its pool has no profile in force'];
  if (!record) return ['its pool has had no leader yet'];
  const used = record.unavailable.length;
  const budget = profile.maxUnavailable;
  if (budget === 0) return ['the profile allows no host to be unavailable'];
  const head = `${used} of ${budget} hosts of the budget are used`;
  const causes = record.unavailable.map(
    entry => `${entry.hostId} is ${entry.state}: ${entry.cause}`,
  );
  return [head, ...causes];
}
