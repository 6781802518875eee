import {Member} from '../../types';
import {computeRendezvousScore} from './rendezvous_score';

/**
 * Returns the member that is responsible for a name by rendezvous hashing.
 *
 * @param name the name, such as that of a pool
 * @param members live members; leaving ones are skipped
 * @returns the preferred member, or undefined if there is none
 */
export function findPreferredMember(
  name: string,
  members: readonly Member[],
): Member | undefined {
  let best: Member | undefined;
  let bestScore = -1;
  for (const member of members) {
    if (member.leaving) continue;
    const score = computeRendezvousScore(name, member.id);
    if (score <= bestScore) continue;
    best = member;
    bestScore = score;
  }
  return best;
}
