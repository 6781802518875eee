import {Result} from 'true-myth';
import {Document, LineCounter, parseAllDocuments} from 'yaml';
import {z} from 'zod';
import {checkProfileSet} from '../decisions/configuration';
import {Finding, Profile} from '../types';
import {profileSchema, toProfile} from './profile_schema';
import {YamlLocations, createYamlLocations} from './yaml_locations';

/**
 * Parses and validates a YAML text with one document per profile.
 *
 * @param text the YAML text
 * @param source name of the file, used in the places of findings
 * @returns the profiles, or all findings with their places as file:line:column
 */
export function readProfiles(
  text: string,
  source: string,
): Result<readonly Profile[], readonly Finding[]> {
  const lines = new LineCounter();
  const parsed = parseAllDocuments(text, {lineCounter: lines});
  const documents = Array.isArray(parsed) ? parsed : [];
  const locations = createYamlLocations(source, lines);
  if (documents.length === 0) {
    return Result.err([{place: source, message: 'contains no profile'}]);
  }
  const findings: Finding[] = [];
  const profiles: Profile[] = [];
  for (const document of documents) {
    const read = readDocument(document, locations);
    if (read.isOk) profiles.push(read.value);
    else findings.push(...read.error);
  }
  if (findings.length === 0)
    findings.push(...checkProfilesTogether(profiles, documents, locations));
  return findings.length > 0 ? Result.err(findings) : Result.ok(profiles);
}

function readDocument(
  document: Document,
  locations: YamlLocations,
): Result<Profile, readonly Finding[]> {
  if (document.errors.length > 0) {
    return Result.err(
      document.errors.map(({pos, message}) => ({
        place: locations.atOffset(pos[0]),
        message: message.replace(/ at line \d+, column \d+:[^]*$/, ''),
      })),
    );
  }
  const checked = profileSchema.safeParse(document.toJS());
  if (checked.success) return Result.ok(toProfile(checked.data));
  return Result.err(
    checked.error.issues.flatMap(issue =>
      toFindings(issue, document, locations),
    ),
  );
}

function toFindings(
  issue: z.core.$ZodIssue,
  document: Document,
  locations: YamlLocations,
): readonly Finding[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      place: locations.atKey(document, issue.path, key),
      message: `${key}: is not a field of a profile`,
    }));
  }
  const field = issue.path.map(String).join('.');
  const message = field ? `${field}: ${issue.message}` : issue.message;
  return [{place: locations.atPath(document, issue.path), message}];
}

function checkProfilesTogether(
  profiles: readonly Profile[],
  documents: readonly Document[],
  locations: YamlLocations,
): readonly Finding[] {
  return checkProfileSet(profiles).map(({place, message}) => {
    const match = /^profiles\[(\d+)\]\.?(\w*)/.exec(place);
    const document = documents[Number(match?.[1] ?? 0)];
    const path = match?.[2] ? [match[2]] : [];
    return {
      place: locations.atPath(document, path),
      message: `${place}: ${message}`,
    };
  });
}
