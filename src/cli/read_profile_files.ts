import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {readProfiles} from '../profiles';
import {Finding, Profile} from '../types';

/**
 * Reads profile files.
 *
 * @param files names of the files
 * @returns all profiles, or the findings of every file
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
