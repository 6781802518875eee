import {HostAssignment, Profile} from '../../types';

/** Value of `waveId` for drains of the planned rotation. */
export const ROTATION = 'rotation';

/**
 * Fraction at the end of the maintenance interval over which the hosts of a
 * pool are spread.
 */
const SPREAD_FRACTION = 0.2;

/**
 * Returns the time at which the planned rotation drains a host.
 *
 * A host without recorded maintenance becomes due at a point of its first
 * interval that depends on its id, so that the hosts of a new fleet are not all
 * due at once.
 *
 * @param assignment the host's assignment
 * @param profile the pool's profile
 * @returns time in ms since the epoch, or undefined if no rotation is planned
 */
export function findRotationTime(
  assignment: HostAssignment,
  profile: Profile,
): number | undefined {
  const {maintenanceIntervalMs} = profile;
  if (maintenanceIntervalMs <= 0) return undefined;
  const part = hashToFraction(assignment.hostId);
  if (assignment.lastMaintainedAt > 0) {
    const share = 1 - SPREAD_FRACTION * part;
    return assignment.lastMaintainedAt + maintenanceIntervalMs * share;
  }
  if (assignment.adoptedAt === undefined) return undefined;
  return assignment.adoptedAt + maintenanceIntervalMs * part;
}

const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;

/** Maps a text to a number from 0 to below 1 by an FNV hash. */
function hashToFraction(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), FNV_PRIME);
  return (hash >>> 0) / 2 ** 32;
}
