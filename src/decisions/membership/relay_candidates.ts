import {Member} from '../../types';

/** Members that one member feeds. */
export const RELAY_FANOUT = 8;

const MAX_CANDIDATES = 3;

/**
 * Finds the members that may pass the store's changes on to a member.
 *
 * The members form a tree, oldest first, so that a new member changes nobody
 * else's source. Only earlier members are candidates, which rules out circles;
 * the first member has none and follows the store itself.
 *
 * @param members live members; leaving ones are passed over
 * @param memberId the member that looks for a source
 * @returns the candidates, best first
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
