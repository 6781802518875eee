import {Configuration} from '../../types';

/**
 * Returns the newer of two configurations, so that none ever reverts.
 *
 * A revision that was accepted twice, once before and once after the store was
 * restored to an old backup, is settled by the time and id of the change, which
 * is the same at every member.
 *
 * @param current the one in force, if any
 * @param seen the one read or heard of, if any
 */
export function newerConfiguration(
  current: Configuration | undefined,
  seen: Configuration | undefined,
): Configuration | undefined {
  if (!seen) return current;
  if (!current) return seen;
  return compare(seen, current) > 0 ? seen : current;
}

function compare(a: Configuration, b: Configuration): number {
  return (
    a.revision - b.revision ||
    a.acceptedAt - b.acceptedAt ||
    a.operationId.localeCompare(b.operationId)
  );
}
