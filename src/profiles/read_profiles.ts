import {Result} from 'true-myth';
import {Document, LineCounter, isNode, parseAllDocuments} from 'yaml';
import {checkProfileSet} from '../decisions/configuration';
import {Finding, Profile} from '../types';
import {profileSchema, toProfile} from './profile_schema';

/**
 * Reads profiles from a YAML text with one document per profile.
 *
 * @param text the YAML text
 * @param source name of the file, for the places of findings
 * @returns the profiles, or every finding with file:line:column
 */
export function readProfiles(
  text: string,
  source: string,
): Result<readonly Profile[], readonly Finding[]> {
  const lines = new LineCounter();
  const documents = parseAllDocuments(text, {lineCounter: lines});
  const place = createPlace(source, lines);
  if (!Array.isArray(documents) || documents.length === 0) {
    return Result.err([{place: source, message: 'holds no profile'}]);
  }
  const findings: Finding[] = [];
  const profiles: Profile[] = [];
  for (const document of documents) {
    for (const error of document.errors) {
      findings.push({place: place(error.pos[0]), message: error.message});
    }
    const checked = profileSchema.safeParse(document.toJS());
    if (checked.success) profiles.push(toProfile(checked.data));
    else {
      for (const issue of checked.error.issues) {
        const offset = offsetOf(document, issue.path);
        const field = issue.path.map(String).join('.');
        const message = field ? `${field}: ${issue.message}` : issue.message;
        findings.push({place: place(offset), message});
      }
    }
  }
  if (findings.length > 0) return Result.err(findings);
  const setFindings = checkProfileSet(profiles).map(finding => ({
    place: place(offsetOfFinding(documents, finding)),
    message: `${finding.place}: ${finding.message}`,
  }));
  return setFindings.length > 0 ? Result.err(setFindings) : Result.ok(profiles);
}

function createPlace(
  source: string,
  lines: LineCounter,
): (offset: number) => string {
  return offset => {
    const {line, col} = lines.linePos(offset);
    return `${source}:${line}:${col}`;
  };
}

function offsetOf(document: Document, path: readonly PropertyKey[]): number {
  for (let length = path.length; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return node.range[0];
  }
  return document.range?.[0] ?? 0;
}

function offsetOfFinding(
  documents: readonly Document[],
  {place}: Finding,
): number {
  const match = /^profiles\[(\d+)\]\.?(\w*)/.exec(place);
  if (!match) return 0;
  const document = documents[Number(match[1])];
  return offsetOf(document, match[2] ? [match[2]] : []);
}
