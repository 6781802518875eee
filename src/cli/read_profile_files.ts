import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {readProfiles} from '../profiles';
import {Finding, Profile} from '../types';

/**
 * Reads and validates profile files.
 *
 * @param files paths of the files
 * @returns the profiles of all files, or the findings of all files if there are
 *     any
 */
export function readProfileFiles(
  files: readonly string[],
): Result<readonly Profile[], readonly Finding[]> {
  const findings: Finding[] = [];
  const profiles: Profile[] = [];
  for (const file of files) {
    const read = readProfileFile(file);
    if (read.isOk) profiles.push(...read.value);
    else findings.push(...read.error);
  }
  return findings.length > 0 ? Result.err(findings) : Result.ok(profiles);
}

function readProfileFile(
  file: string,
): Result<readonly Profile[], readonly Finding[]> {
  try {
    return readProfiles(readFileSync(file, 'utf8'), file);
  } catch (error) {
    return Result.err([{place: file, message: (error as Error).message}]);
  }
}
