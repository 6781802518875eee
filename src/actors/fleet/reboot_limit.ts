import {HostAssignment} from '../../types';

/** Upper bound of the limit, also used while no duration is known. */
const MAX_LIMIT_MS = 900_000;
const MIN_LIMIT_MS = 30_000;
/** Multiple of the median maintenance duration that a reboot may take. */
const MEDIAN_FACTOR = 4;

/**
 * Returns how long a reboot may take before the host counts as failed.
 *
 * @param assignments the pool's assignments with the durations of their last
 *     maintenance
 * @returns the limit in ms
 */
export function findRebootLimit(
  assignments: ReadonlyMap<string, HostAssignment>,
): number {
  const durationsMs: number[] = [];
  for (const {maintenanceMs} of assignments.values()) {
    if (maintenanceMs) durationsMs.push(maintenanceMs);
  }
  if (durationsMs.length === 0) return MAX_LIMIT_MS;
  durationsMs.sort((a, b) => a - b);
  const medianMs = durationsMs[Math.floor(durationsMs.length / 2)];
  const limitMs = Math.max(MIN_LIMIT_MS, medianMs * MEDIAN_FACTOR);
  return Math.min(MAX_LIMIT_MS, limitMs);
}
