import {Finding, Profile} from '../../types';

/**
 * Checks a set of profiles for conflicts between them and with the fleet.
 *
 * @param profiles the set
 * @param hostCount number of hosts of the fleet; undefined if unknown
 * @returns all findings, each with the path of the field as its place
 */
export function checkProfileSet(
  profiles: readonly Profile[],
  hostCount?: number,
): readonly Finding[] {
  return [
    ...findDuplicates(profiles, 'name', profile => [profile.name]),
    ...findDuplicates(profiles, 'pool', profile => [profile.pool]),
    ...findDuplicates(profiles, 'services', profile => profile.services),
    ...findExtraSpares(profiles),
    ...findZeroBudgets(profiles),
    ...findExcessHosts(profiles, hostCount),
  ];
}

function findDuplicates(
  profiles: readonly Profile[],
  field: string,
  read: (profile: Profile) => readonly string[],
): readonly Finding[] {
  const seen = new Map<string, number>();
  const findings: Finding[] = [];
  profiles.forEach((profile, index) => {
    for (const value of read(profile)) {
      const first = seen.get(value);
      if (first === undefined) seen.set(value, index);
      else {
        findings.push({
          place: `profiles[${index}].${field}`,
          message: `"${value}" stands already in profiles[${first}]`,
        });
      }
    }
  });
  return findings;
}

function findExtraSpares(profiles: readonly Profile[]): readonly Finding[] {
  return profiles
    .map((profile, index) => ({profile, index}))
    .filter(({profile}) => profile.spare)
    .slice(1)
    .map(({index}) => ({
      place: `profiles[${index}].spare`,
      message: 'another profile is the spare one already',
    }));
}

function findZeroBudgets(profiles: readonly Profile[]): readonly Finding[] {
  const findings: Finding[] = [];
  profiles.forEach((profile, index) => {
    if (profile.maxUnavailable === 0 && profile.maintenanceIntervalMs > 0) {
      findings.push({
        place: `profiles[${index}].maxUnavailable`,
        message: 'is 0, so that the due maintenance can never start',
      });
    }
  });
  return findings;
}

function findExcessHosts(
  profiles: readonly Profile[],
  hostCount: number | undefined,
): readonly Finding[] {
  if (hostCount === undefined) return [];
  const sum = profiles.reduce((total, profile) => total + profile.hosts, 0);
  if (sum <= hostCount) return [];
  return [
    {
      place: 'profiles',
      message: `they count on ${sum} hosts, but the fleet has ${hostCount}`,
    },
  ];
}
