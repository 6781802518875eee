import {HostState, Loan} from '../../types';
import {SlotInputs} from './slot_policy';

/**
 * Grants every entry host all slots of a pool, so that only workers enforce
 * their limits by refusing requests.
 *
 * @param inputs the pool's hosts
 * @returns loans of all slots of active hosts, which never expire
 */
export function grantAllSlots({hosts}: SlotInputs): readonly Loan[] {
  return hosts
    .filter(({state}) => state === HostState.Active)
    .map(({host: {id, slots}}) => ({
      hostId: id,
      slots,
      term: 0,
      endsAt: Infinity,
    }));
}
