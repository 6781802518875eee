import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {DataTable, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {checkProfileSet} from '../../src/decisions/configuration';
import {
  createProfileJsonSchema,
  explainProfile,
  profileSchema,
  readProfiles,
} from '../../src/profiles';
import {Finding} from '../../src/types';

const SOURCE = 'profiles.yaml';
const EXAMPLE = 'examples/orbitica.yaml';
const SEED = 3;
/**
 * Number of fields that are explained in the same sentence as another field.
 */
const SHARED_SENTENCE_COUNT = 2;

let text = '';
let findings: readonly Finding[] = [];

Given('a profile file', (content: string) => {
  text = content;
});

Given('the example profiles', () => {
  text = readFileSync(EXAMPLE, 'utf8');
});

When('the profile file is checked', () => {
  const read = readProfiles(text, SOURCE);
  findings = read.isErr ? read.error : [];
});

When(
  'the profile file is applied to a fleet of {int} hosts',
  (hosts: number) => {
    const read = readProfiles(text, SOURCE);
    if (read.isErr) throw new Error(JSON.stringify(read.error));
    findings = checkProfileSet(read.value, hosts);
  },
);

Then('its findings are reported at', (table: DataTable) => {
  const expected = table.hashes();
  assert.deepEqual(
    findings.map(({place}) => place),
    expected.map(({place}) => place),
  );
  findings.forEach(({message}, i) =>
    assert.match(message, new RegExp(expected[i].about)),
  );
});

Then(
  'the only finding names {int} required and {int} existing hosts',
  (required: number, existing: number) => {
    assert.equal(findings.length, 1);
    assert.match(findings[0].message, new RegExp(`${required}.*${existing}`));
  },
);

Then(
  '{int} random profile files result in profiles or in findings with locations',
  (runs: number) => {
    const example = readFileSync(EXAMPLE, 'utf8').split('\n');
    const line = fc.oneof(
      fc.string(),
      fc.constantFrom(...example, 'name: a', 'hosts: [', '---', '- x'),
    );
    fc.assert(
      fc.property(fc.array(line), lines => {
        const read = readProfiles(lines.join('\n'), SOURCE);
        if (read.isOk) return read.value.length > 0;
        return read.error.every(({place}) => place.startsWith(SOURCE));
      }),
      {seed: SEED, numRuns: runs},
    );
  },
);

Then('every field of each profile is explained in a sentence', () => {
  const read = readProfiles(text, SOURCE);
  if (read.isErr) throw new Error(JSON.stringify(read.error));
  const fields = Object.keys(profileSchema.shape).length;
  for (const profile of read.value) {
    const sentences = explainProfile(profile);
    assert.equal(sentences.length, fields - SHARED_SENTENCE_COUNT);
    assert.ok(sentences.every(sentence => sentence.endsWith('.')));
  }
});

Then('the published JSON Schema equals the generated one', () => {
  const published = readFileSync('docs/schema/profile.schema.json', 'utf8');
  assert.deepEqual(JSON.parse(published), createProfileJsonSchema());
});
