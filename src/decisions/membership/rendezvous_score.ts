import {createHash} from 'node:crypto';

const SCORE_BYTES = 6;

/**
 * Scores a member for a name, evenly and without any shared state.
 *
 * @param name what is placed, such as a pool
 * @param memberId id of the member
 */
export function rendezvousScore(name: string, memberId: string): number {
  const digest = createHash('sha1').update(`${name}\n${memberId}`).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}
