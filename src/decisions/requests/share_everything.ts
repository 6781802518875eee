import {HostState, Loan} from '../../types';
import {SlotInputs} from './slot_policy';

/**
 * Lets every entry host use every slot, so that only the workers' refusals keep the limits.
 *
 * @param inputs the pool's hosts
 * @returns all slots of the pool, without an end
 */
export function shareEverything({hosts}: SlotInputs): readonly Loan[] {
  return hosts
    .filter(({state}) => state === HostState.Active)
    .map(({host: {id, slots}}) => ({
      hostId: id,
      slots,
      term: 0,
      endsAt: Infinity,
    }));
}
