import {
  HostAssignment,
  HostState,
  PoolRecord,
  Wave,
  WaveState,
} from '../../types';

/** Inputs of the review of a wave. */
export interface WaveInputs {
  readonly wave: Wave;
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  /**
   * Returns whether a host has left the fleet; one that was never listed may
   * have been added since the last list.
   */
  readonly hasLeft: (hostId: string) => boolean;
  readonly records: readonly PoolRecord[];
}

/** Hosts of a wave by their progress. */
export interface WaveProgress {
  readonly done: readonly string[];
  readonly underWay: readonly string[];
  /** Hosts that did not return from this wave's reboot. */
  readonly notReturned: readonly string[];
  /** Hosts that have left the fleet since the wave was declared. */
  readonly gone: readonly string[];
  readonly waiting: readonly string[];
}

/**
 * Number of hosts that fail to return from their reboots at which a wave
 * pauses.
 */
const NOT_RETURNED_LIMIT = 2;

/** Groups a wave's hosts by their progress. */
export function findProgress(inputs: WaveInputs): WaveProgress {
  const {wave, assignments, hasLeft, records} = inputs;
  const entries = new Map(
    records.flatMap(r => r.unavailable).map(e => [e.hostId, e]),
  );
  const progress = {
    done: [] as string[],
    underWay: [] as string[],
    notReturned: [] as string[],
    gone: [] as string[],
    waiting: [] as string[],
  };
  for (const hostId of wave.hostIds) {
    const assignment = assignments.get(hostId);
    const entry = entries.get(hostId);
    if (assignment?.completedWaves.includes(wave.id)) {
      progress.done.push(hostId);
    } else if (hasLeft(hostId)) {
      progress.gone.push(hostId);
    } else if (entry?.waveId !== wave.id) {
      progress.waiting.push(hostId);
    } else if (entry.state === HostState.Failed && entry.rebootAt) {
      progress.notReturned.push(hostId);
    } else {
      progress.underWay.push(hostId);
    }
  }
  return progress;
}

/**
 * Determines the next state of a wave.
 *
 * @param inputs the wave and the state of its hosts
 * @returns the wave with its new state and cause, or undefined if it does not
 *     change
 */
export function reviewWave(inputs: WaveInputs): Wave | undefined {
  const {wave} = inputs;
  if (wave.state !== WaveState.Active) return undefined;
  const progress = findProgress(inputs);
  const left = progress.waiting.length + progress.underWay.length;
  if (progress.notReturned.length === 0 && left === 0) {
    const gone = progress.gone.length;
    const rest = gone > 0 ? `, ${gone} left the fleet before` : '';
    const cause = `${progress.done.length} hosts have been through maintenance${rest}`;
    return {...wave, state: WaveState.Done, cause};
  }
  const unacceptedLosses = progress.notReturned.filter(
    hostId => !wave.acceptedLosses?.includes(hostId),
  );
  if (unacceptedLosses.length < NOT_RETURNED_LIMIT) return undefined;
  const cause = `${unacceptedLosses.join(', ')} did not return from their reboots`;
  return {...wave, state: WaveState.Paused, cause};
}
