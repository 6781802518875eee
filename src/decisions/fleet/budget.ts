import {HostState, PoolRecord, Profile, Unavailability} from '../../types';

const OWN_STATES: readonly HostState[] = [
  HostState.Draining,
  HostState.Rebooting,
  HostState.Quarantined,
  HostState.Moving,
];

/**
 * Counts the hosts that a pool may still lose.
 *
 * @param profile the pool's profile
 * @param record the pool's record with its budget ledger
 * @returns hosts left in the budget; negative after failures beyond it
 */
export function budgetLeft(profile: Profile, record: PoolRecord): number {
  return profile.maxUnavailable - record.unavailable.length;
}

/** Tells whether a host is unavailable by a decision of the leader. */
export function isOwnDecision(entry: Unavailability): boolean {
  return OWN_STATES.includes(entry.state);
}

/**
 * Adds hosts to a ledger if the budget holds afterwards.
 *
 * @param unavailable the ledger
 * @param added hosts that would become unavailable
 * @param budget hosts that may be unavailable at once
 * @returns the new ledger, or undefined if the budget would not hold
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
