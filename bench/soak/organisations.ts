/** An organisation whose callers the soak plays. */
export interface SoakOrganisation {
  readonly name: string;
  readonly weight: number;
  /** Thousandths of a processor that it may use at a time; 0 for no limit. */
  getCap(version: number): number;
}

/** Organisations; a cap holds at least a gang of the largest tasks. */
export const ORGANISATIONS: readonly SoakOrganisation[] = [
  {name: 'north', weight: 6, getCap: () => 0},
  {name: 'south', weight: 3, getCap: version => (version % 2 ? 12_000 : 7_000)},
  {name: 'east', weight: 1, getCap: () => 7_000},
];
/** Key that no configuration ever holds. */
export const UNKNOWN_KEY = 'key-of-nobody';
/** Versions in which a caller's key is valid. */
const KEY_VERSIONS = 2;

/** Returns the key that an organisation gets with a version. */
export function getKey(organisation: string, version: number): string {
  return `${organisation}-${version}`;
}

/** Returns the keys of an organisation that are valid in a version. */
export function listKeys(
  organisation: string,
  version: number,
): readonly string[] {
  return Array.from({length: KEY_VERSIONS}, (_, index) =>
    getKey(organisation, version - index),
  );
}
