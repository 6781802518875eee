import {Acceptance, Configuration} from '../../types';

/** Number of recent acceptances kept in a configuration. */
export const MAX_ACCEPTANCES = 64;

/**
 * Returns the recent acceptances kept in a configuration, its own last.
 *
 * @param configuration the configuration; undefined if there is none
 */
export function listAcceptances(
  configuration: Configuration | undefined,
): readonly Acceptance[] {
  if (!configuration) return [];
  const {revision, operationId, author, acceptedAt, recent} = configuration;
  if (recent) return recent;
  return [{revision, operationId, author, acceptedAt}];
}

/**
 * Returns the acceptance of a change, even if other changes were accepted
 * since.
 *
 * @param configuration the latest known configuration
 * @param operationId id of the change
 * @returns the acceptance; undefined if the change is not among the recent ones
 */
export function findAcceptance(
  configuration: Configuration | undefined,
  operationId: string,
): Acceptance | undefined {
  return listAcceptances(configuration).find(
    acceptance => acceptance.operationId === operationId,
  );
}
