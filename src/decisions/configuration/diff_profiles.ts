import {FieldDifference, Profile} from '../../types';

/**
 * Compares two sets of profiles field by field.
 *
 * @param before the earlier set
 * @param after the later set
 * @returns the differences, sorted by place
 */
export function diffProfiles(
  before: readonly Profile[],
  after: readonly Profile[],
): readonly FieldDifference[] {
  const earlier = new Map(before.map(profile => [profile.name, profile]));
  const later = new Map(after.map(profile => [profile.name, profile]));
  const names = [...new Set([...earlier.keys(), ...later.keys()])].sort();
  return names.flatMap(name =>
    diffProfile(name, earlier.get(name), later.get(name)),
  );
}

function diffProfile(
  name: string,
  before: Profile | undefined,
  after: Profile | undefined,
): readonly FieldDifference[] {
  const place = `profiles.${name}`;
  if (!before) return [{place, after: JSON.stringify(after)}];
  if (!after) return [{place, before: JSON.stringify(before)}];
  const earlier = new Map(Object.entries(before));
  const later = new Map(Object.entries(after));
  const fields = [...new Set([...earlier.keys(), ...later.keys()])].sort();
  return fields.flatMap(field => {
    const earlierJson = toCanonicalJson(earlier.get(field));
    const laterJson = toCanonicalJson(later.get(field));
    if (earlierJson === laterJson) return [];
    return [
      {place: `${place}.${field}`, before: earlierJson, after: laterJson},
    ];
  });
}

/**
 * Returns the JSON text of a value with the fields of its objects sorted by
 * name.
 */
function toCanonicalJson(value: unknown): string | undefined {
  return JSON.stringify(value, (_, part: unknown) => {
    const plain =
      typeof part === 'object' && part !== null && !Array.isArray(part);
    if (!plain) return part;
    return Object.fromEntries(
      Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  });
}
