import {createHash} from 'node:crypto';
import {Organisation} from '../../types/workflow';

/**
 * Returns the digest of an API key.
 *
 * Keys are compared by their digests only, so the time that a lookup takes says
 * nothing about the configured keys.
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}

/**
 * Returns the organisations by key digest.
 *
 * A key that several organisations have identifies none of them.
 */
export function indexByKey(
  organisations: Iterable<Organisation>,
): ReadonlyMap<string, Organisation> {
  const index = new Map<string, Organisation>();
  const ambiguous = new Set<string>();
  for (const organisation of organisations) {
    for (const digest of organisation.keyDigests) {
      const other = index.get(digest);
      if (other && other !== organisation) ambiguous.add(digest);
      index.set(digest, organisation);
    }
  }
  for (const digest of ambiguous) index.delete(digest);
  return index;
}
