import {createHash} from 'node:crypto';
import {Member} from '../../types';

/**
 * Finds the member that should lead a pool, by rendezvous hashing.
 *
 * @param pool name of the pool
 * @param members live members; leaving ones are passed over
 * @returns the preferred member, or undefined if there is none
 */
export function findPreferredMember(
  pool: string,
  members: readonly Member[],
): Member | undefined {
  let best: Member | undefined;
  let bestScore = -1;
  for (const member of members) {
    if (member.leaving) continue;
    const score = scoreOf(pool, member.id);
    if (score <= bestScore) continue;
    best = member;
    bestScore = score;
  }
  return best;
}

const SCORE_BYTES = 6;

function scoreOf(pool: string, memberId: string): number {
  const digest = createHash('sha1').update(`${pool}\n${memberId}`).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}
