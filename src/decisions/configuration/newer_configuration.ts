import {Configuration} from '../../types';

/**
 * Returns the configuration with the higher revision, so that none ever reverts.
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
  return seen.revision > current.revision ? seen : current;
}
