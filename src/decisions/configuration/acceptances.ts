import {Acceptance, Configuration} from '../../types';

/** Acceptances that a configuration remembers. */
export const KEPT_ACCEPTANCES = 64;

/**
 * Lists the acceptances that a configuration remembers, its own last.
 *
 * @param configuration the configuration, if there is one
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
 * Finds out whether a change was accepted, also when others followed it.
 *
 * @param configuration the latest configuration that is known
 * @param operationId id of the change
 */
export function findAcceptance(
  configuration: Configuration | undefined,
  operationId: string,
): Acceptance | undefined {
  return listAcceptances(configuration).find(
    acceptance => acceptance.operationId === operationId,
  );
}
