import {HostState, Loan} from '../../types';
import {SlotInputs} from './slot_policy';

/**
 * Splits the slots of each worker evenly among the entry hosts.
 *
 * The remainders of the division go to the entry hosts in turn from worker to
 * worker, so that their shares of the pool differ by at most one slot.
 *
 * @param inputs the pool's hosts and the members that share it
 * @returns loans of the member's share, which never expire
 */
export function splitStatically(inputs: SlotInputs): readonly Loan[] {
  const {hosts, memberIds, memberId} = inputs;
  const position = memberIds.indexOf(memberId);
  const count = memberIds.length;
  if (position < 0) return [];
  let given = 0;
  const loans: Loan[] = [];
  for (const {host, state} of hosts) {
    const turn = (position - given + count * host.slots) % count;
    const extra = turn < host.slots % count ? 1 : 0;
    given = (given + (host.slots % count)) % count;
    if (state !== HostState.Active) continue;
    const slots = Math.floor(host.slots / count) + extra;
    if (slots === 0) continue;
    loans.push({hostId: host.id, slots, term: 0, endsAt: Infinity});
  }
  return loans;
}
