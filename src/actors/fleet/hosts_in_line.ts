import {listNextDrainHosts} from '../../decisions/fleet';
import {Profile} from '../../types';
import {FleetView} from './fleet_view';

/**
 * Lists the hosts that waves take next, which new long work should avoid.
 *
 * @param view the fleet as this member knows it
 * @param profile the pool's profile
 * @returns at most two budgets' worth of host ids, the next one first
 */
export function findHostsInLine(
  view: FleetView,
  profile: Profile,
): readonly string[] {
  const {pool, maxUnavailable} = profile;
  return listNextDrainHosts(
    {
      now: Date.now(),
      profile,
      unavailable: view.getRecord(pool)?.unavailable ?? [],
      hosts: view.getListed(pool),
      assignments: view.getAssigned(pool),
      waves: view.listWaves(),
      observations: new Map(),
    },
    maxUnavailable * 2,
  );
}
