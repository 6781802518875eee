import {HostAssignment} from '../../types';

const UNKNOWN_LIMIT_MS = 900_000;
const LEAST_LIMIT_MS = 30_000;
const TIMES_TYPICAL = 4;

/**
 * Finds how long a reboot may take before the host counts as failed.
 *
 * @param assignments the pool's hosts with the lengths of their last maintenance
 * @returns limit in ms
 */
export function findRebootLimit(
  assignments: ReadonlyMap<string, HostAssignment>,
): number {
  const known: number[] = [];
  for (const {maintenanceMs} of assignments.values()) {
    if (maintenanceMs) known.push(maintenanceMs);
  }
  if (known.length === 0) return UNKNOWN_LIMIT_MS;
  known.sort((a, b) => a - b);
  const typical = known[Math.floor(known.length / 2)];
  const limit = Math.max(LEAST_LIMIT_MS, typical * TIMES_TYPICAL);
  return Math.min(UNKNOWN_LIMIT_MS, limit);
}
