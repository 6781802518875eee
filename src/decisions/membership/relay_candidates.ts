import {Member} from '../../types';

/** Maximum number of members to which one member relays changes. */
export const RELAY_FANOUT = 8;

/** Maximum number of relay sources to try. */
const MAX_CANDIDATES = 3;

/**
 * Returns the members from which a member may receive the changes of the store.
 *
 * The members form a tree in the order of their start, so that a new member
 * does not change the source of any other. Only earlier members are candidates,
 * which prevents cycles; the first member has no candidates and watches the
 * store itself.
 *
 * @param members live members; leaving ones are skipped
 * @param memberId id of the member that needs a source
 * @returns the candidates in order of preference
 */
export function findRelayCandidates(
  members: readonly Member[],
  memberId: string,
): readonly Member[] {
  const order = members
    .filter(member => !member.leaving || member.id === memberId)
    .sort(compareAge);
  const position = order.findIndex(member => member.id === memberId);
  if (position < 0) return order.slice(0, MAX_CANDIDATES);
  const earlier = order.slice(0, position);
  const parent = earlier[Math.floor((position - 1) / RELAY_FANOUT)];
  const others = earlier.filter(member => member !== parent);
  return (parent ? [parent, ...others] : others).slice(0, MAX_CANDIDATES);
}

function compareAge(a: Member, b: Member): number {
  return a.startedAt - b.startedAt || a.id.localeCompare(b.id);
}
