import {Capacity, Step} from '../../types/workflow';

/** What limits how many tasks of a step run at once. */
export interface WaveLimits {
  /** Capacity of the pool; undefined if unknown. */
  readonly room?: Capacity;
  /** Cap of the organisation; undefined if it has none. */
  readonly cap?: Capacity;
}

/** Share of a pool that a single step can expect to get. */
const STEP_SHARE = 0.25;

const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/**
 * Returns in how many waves the tasks of a step run, one after the other.
 *
 * Load: a step is wider than its organisation may run, or than a part of the
 * pool. Its expected time, and thus its objective, is that of all waves.
 */
export function countWaves(step: Step, {room, cap}: WaveLimits): number {
  let width = step.taskCount;
  for (const resource of RESOURCES) {
    const size = step[resource];
    if (size === 0) continue;
    const limit = cap?.[resource] ?? 0;
    if (limit > 0) width = Math.min(width, Math.floor(limit / size));
    const part = STEP_SHARE * (room?.[resource] ?? 0);
    if (part > 0) width = Math.min(width, Math.floor(part / size));
  }
  return Math.ceil(step.taskCount / Math.max(1, width));
}
