import {PoolRecord, Profile} from '../../types';

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
