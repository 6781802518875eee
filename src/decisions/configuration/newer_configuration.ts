import {Configuration} from '../../types';

/**
 * Returns the newer of two configurations, so that a member never goes back to
 * an older one.
 *
 * The same revision number can be assigned twice, before and after the store
 * was restored from an old backup. The tie is broken by the time and id of the
 * change, which leads to the same result at every member.
 *
 * @param current the active configuration, if any
 * @param seen the configuration that was read or received, if any
 */
export function getNewerConfiguration(
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
