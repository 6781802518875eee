import {Member} from '../../types';

/** Maximum number of members that one member calls per round. */
export const HEARTBEAT_FANOUT = 3;

/**
 * Chooses the members that get a heartbeat in one round.
 *
 * Each member calls its successors in the order of ids. If one round cannot
 * reach half of the other members, the window of successors advances with each
 * round. A call counts as a heartbeat in both directions, so up to seven
 * members all exchange heartbeats in every round.
 *
 * @param members the known members
 * @param memberId the member that calls
 * @param round number of the round
 */
export function findHeartbeatTargets(
  members: readonly Member[],
  memberId: string,
  round: number,
): readonly Member[] {
  const order = [...members].sort((a, b) => a.id.localeCompare(b.id));
  const others = order.filter(member => member.id !== memberId);
  if (others.length <= HEARTBEAT_FANOUT) return others;
  const position = order.findIndex(member => member.id === memberId);
  const successors = [
    ...others.slice(Math.max(position, 0)),
    ...others.slice(0, Math.max(position, 0)),
  ];
  const reach = Math.ceil(others.length / 2);
  const first = (round * HEARTBEAT_FANOUT) % reach;
  return Array.from(
    {length: HEARTBEAT_FANOUT},
    (_, i) => successors[(first + i) % reach],
  );
}
