import {Move, PoolCapacity, chooseMove} from '../../decisions/fleet';
import {Configuration, Profile} from '../../types';
import {FleetView} from './fleet_view';

/**
 * Chooses the move out of a pool, if one is due: to a pool with a lasting
 * shortage, or from a pool with a surplus back to the spare pool.
 *
 * @param view this member's view of the fleet
 * @param pool the pool that would give up a host
 * @param configuration profiles of all pools; without it no host moves
 * @returns the move, or undefined if none is needed
 */
export function findMove(
  view: FleetView,
  pool: string,
  configuration: Configuration | undefined,
): Move | undefined {
  if (!configuration) return undefined;
  const {profiles, acceptedAt} = configuration;
  const donor = findCapacity(view, profiles, pool);
  if (!donor) return undefined;
  const others = profiles
    .filter(profile => profile.pool !== pool)
    .map(profile => findCapacity(view, profiles, profile.pool))
    .filter(known => known !== undefined);
  return chooseMove({
    now: Date.now(),
    donor,
    others,
    configuredAt: acceptedAt,
    hosts: view.getListedHosts(pool),
  });
}

function findCapacity(
  view: FleetView,
  profiles: readonly Profile[],
  pool: string,
): PoolCapacity | undefined {
  const profile = profiles.find(known => known.pool === pool);
  const record = view.getRecord(pool);
  if (!profile || !record) return undefined;
  const assignments = [...view.getPoolAssignments(pool).values()];
  return {profile, record, assignments};
}
