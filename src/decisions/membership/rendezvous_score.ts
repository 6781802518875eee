import {createHash} from 'node:crypto';

const SCORE_BYTES = 6;

/**
 * Returns the rendezvous hashing score of a member for a name. Scores are
 * uniformly distributed and need no shared state.
 *
 * @param name the name to assign, such as that of a pool
 * @param memberId id of the member
 */
export function computeRendezvousScore(name: string, memberId: string): number {
  const digest = createHash('sha1').update(`${name}\n${memberId}`).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}
