import {HostAssignment, Profile} from '../../types';

/** Stands for the planned rotation where a wave's id is expected. */
export const ROTATION = 'rotation';

/** Share of the interval, before its end, over which a pool's hosts are spread. */
const SPREAD = 0.2;

/**
 * Finds when the planned rotation takes a host.
 *
 * A host whose maintenance was never seen is taken at a point of the first
 * interval that depends on its id, so that a new fleet isn't due all at once.
 *
 * @param assignment the host's assignment
 * @param profile the pool's profile
 * @returns time in ms since the epoch, or undefined if none is planned
 */
export function findRotationTime(
  assignment: HostAssignment,
  profile: Profile,
): number | undefined {
  const {maintenanceIntervalMs} = profile;
  if (maintenanceIntervalMs <= 0) return undefined;
  const part = hashToUnit(assignment.hostId);
  if (assignment.lastMaintainedAt > 0) {
    const share = 1 - SPREAD * part;
    return assignment.lastMaintainedAt + maintenanceIntervalMs * share;
  }
  if (assignment.adoptedAt === undefined) return undefined;
  return assignment.adoptedAt + maintenanceIntervalMs * part;
}

const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;

function hashToUnit(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), FNV_PRIME);
  return (hash >>> 0) / 2 ** 32;
}
