import {HostState, PoolRecord, Profile, Unavailability} from '../../types';

/** States that only a decision of the leader puts a host into. */
const LEADER_DECIDED_STATES: readonly HostState[] = [
  HostState.Draining,
  HostState.Rebooting,
  HostState.Quarantined,
  HostState.Moving,
];

/**
 * Returns how many more hosts of a pool may become unavailable.
 *
 * @param profile the pool's profile
 * @param record the pool's record with the ledger of its unavailable hosts
 * @returns hosts left in the budget; negative if failures have exceeded it
 */
export function getRemainingBudget(
  profile: Profile,
  record: PoolRecord,
): number {
  return profile.maxUnavailable - record.unavailable.length;
}

/** Returns whether a host is unavailable by a decision of the leader. */
export function isLeaderDecision(entry: Unavailability): boolean {
  return LEADER_DECIDED_STATES.includes(entry.state);
}

/**
 * Adds hosts to a ledger unless that would exceed the budget.
 *
 * @param unavailable the ledger
 * @param added hosts that would become unavailable
 * @param budget hosts that may be unavailable at once
 * @returns the new ledger, or undefined if a host is listed already or the
 *     budget would be exceeded
 */
export function spendBudget(
  unavailable: readonly Unavailability[],
  added: readonly Unavailability[],
  budget: number,
): readonly Unavailability[] | undefined {
  const known = new Set(unavailable.map(entry => entry.hostId));
  if (added.some(entry => known.has(entry.hostId))) return undefined;
  if (unavailable.length + added.length > budget) return undefined;
  return [...unavailable, ...added];
}
