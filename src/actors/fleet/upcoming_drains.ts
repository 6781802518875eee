import {listNextDrainHosts} from '../../decisions/fleet';
import {Profile} from '../../types';
import {FleetView} from './fleet_view';

/**
 * Lists the hosts that will be drained next, for waves or for the rotation; new
 * long-running jobs should avoid them.
 *
 * @param view this member's view of the fleet
 * @param profile the pool's profile
 * @returns host ids in the order of draining, at most twice the pool's
 *     unavailability budget
 */
export function findUpcomingDrains(
  view: FleetView,
  profile: Profile,
): readonly string[] {
  const {pool, maxUnavailable} = profile;
  return listNextDrainHosts(
    {
      now: Date.now(),
      profile,
      unavailable: view.getRecord(pool)?.unavailable ?? [],
      hosts: view.getListedHosts(pool),
      assignments: view.getPoolAssignments(pool),
      waves: view.listWaves(),
      observations: new Map(),
    },
    maxUnavailable * 2,
  );
}
