import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {readBearerKey} from '../../platform/authorization';
import {readConfiguration} from '../../platform/configuration';
import {parseFields} from '../../platform/registry';
import {digestKey} from '../../src/decisions/workflows';

/** Values in place of an entry or of one of its fields. */
const VALUE = fc.oneof(
  fc.constantFrom(null, true, 0, -1, 1e308, '', '__proto__', 'key-0', [], {}),
  fc.string({unit: 'binary', maxLength: 8}),
  fc.double(),
);
const KEY = fc.oneof(
  fc.nat(12).map(index => `key-${index}`),
  fc.string({maxLength: 4}),
);
const NAME = fc.oneof(
  fc.nat(4).map(index => `org-${index}`),
  fc.constantFrom('__proto__', 'constructor', 'toString'),
);
const ENTRY = fc.oneof(
  {weight: 3, arbitrary: createEntry(NAME, fc.array(KEY, {maxLength: 4}))},
  {weight: 1, arbitrary: createEntry(VALUE, VALUE)},
  {weight: 1, arbitrary: VALUE},
);

let entries: unknown[] = [];
let problems: string[] = [];

function createEntry(
  name: fc.Arbitrary<unknown>,
  apiKeys: fc.Arbitrary<unknown>,
): fc.Arbitrary<unknown> {
  return fc.record(
    {name, apiKeys, weight: fc.nat(9), cap: fc.record({cpu: fc.nat(99)})},
    {requiredKeys: ['name', 'apiKeys']},
  );
}

/** Returns the name of the organisation that a key identifies. */
function createLookup(tenants: unknown): (key: string) => string | undefined {
  // The stored configuration is JSON text.
  const text = JSON.stringify({version: 1, tenants});
  const configuration = readConfiguration(parseFields(text));
  assert.ok(configuration);
  const index = configuration.organisationsByKey;
  return key => index.get(digestKey(key))?.name;
}

Given('the organisations "first", "second" and "third" with a key each', () => {
  entries = ['first', 'second', 'third'].map(name => ({
    name,
    apiKeys: [`key-of-${name}`],
  }));
  assert.equal(createLookup(entries)('key-of-second'), 'second');
});

When(/^the second organisation is (.*)$/, (entry: string) => {
  entries[1] = JSON.parse(entry);
});

Then('the keys of "first" and "third" identify them', () => {
  const lookup = createLookup(entries);
  assert.equal(lookup('key-of-first'), 'first');
  assert.equal(lookup('key-of-third'), 'third');
});

Then('the key of the second organisation identifies nobody', () =>
  assert.equal(createLookup(entries)('key-of-second'), undefined),
);

Then('the key {string} identifies nobody', (key: string) =>
  assert.equal(createLookup(entries)(key), undefined),
);

Then('the key {string} identifies {string}', (key: string, name: string) =>
  assert.equal(createLookup(entries)(key), name),
);

/** Returns the organisations that list a key, by its first valid entries. */
function listHolders(tenants: readonly unknown[], key: string): string[] {
  const seen = new Set<string>();
  const holders: string[] = [];
  for (const tenant of tenants) {
    const {name, apiKeys} = (tenant ?? {}) as Record<string, unknown>;
    if (typeof name !== 'string' || name === '' || seen.has(name)) continue;
    seen.add(name);
    if (Array.isArray(apiKeys) && apiKeys.includes(key)) holders.push(name);
  }
  return holders;
}

When(
  '{int} random lists of organisations with seed {int} are decoded between valid ones',
  (count: number, seed: number) => {
    problems = [];
    const lists = fc.sample(fc.array(ENTRY, {maxLength: 8}), {
      numRuns: count,
      seed,
    });
    for (const list of lists) {
      const first = {name: 'first', apiKeys: ['key-of-first']};
      const last = {name: 'last', apiKeys: ['key-of-last', 'key-1']};
      const tenants: unknown[] = [first, ...list, last];
      const lookup = createLookup(tenants);
      const keys = Array.from({length: 13}, (_, index) => `key-${index}`);
      for (const key of [...keys, 'key-of-first', 'key-of-last']) {
        const holders = listHolders(tenants, key);
        const expected = holders.length === 1 ? holders[0] : undefined;
        if (lookup(key) === expected) continue;
        problems.push(`${key}: ${lookup(key)}, ${JSON.stringify(list)}`);
      }
    }
  },
);

Then(
  'every key that is configured once in a valid entry identifies its organisation, and no other key does',
  () => assert.deepEqual(problems, []),
);

const HEADER = fc.oneof(
  fc
    .tuple(
      fc.constantFrom('Bearer ', 'bearer ', 'BEARER  ', 'Bearer', 'Basic ', ''),
      fc.constantFrom('key-0', 'key-1', 'other', 'key-0,key-1', 'key-0 key-1'),
      fc.constantFrom('', ' ', '=', '\t', ',', '\0'),
    )
    .map(parts => parts.join('')),
  fc.string({unit: 'binary'}),
  fc.nat(20_000).map(length => `Bearer ${'k'.repeat(length)}`),
);

When(
  '{int} random sets of authorization headers with seed {int} are read',
  (count: number, seed: number) => {
    problems = [];
    const lookup = createLookup([
      {name: 'org-0', apiKeys: ['key-0']},
      {name: 'org-1', apiKeys: ['key-1']},
    ]);
    const sets = fc.sample(fc.array(HEADER, {maxLength: 2}), {
      numRuns: count,
      seed,
    });
    for (const values of sets) {
      const key = readBearerKey(values);
      const found = key.isOk ? lookup(key.value) : undefined;
      const digit = /^bearer +key-([01])[ \t]*$/i.exec(values[0] ?? '')?.[1];
      const expected =
        values.length === 1 && digit ? `org-${digit}` : undefined;
      if (found !== expected) problems.push(JSON.stringify(values));
    }
  },
);

Then(
  'each identifies the organisation of its key if it is one bearer key, and nobody otherwise',
  () => assert.deepEqual(problems, []),
);

const KEYS_PER_ORGANISATION = 2_000;

When('a configuration of {int} keys is decoded', (count: number) => {
  const organisations = count / KEYS_PER_ORGANISATION;
  entries = Array.from({length: organisations}, (_, index) => ({
    name: `org-${index}`,
    apiKeys: Array.from(
      {length: KEYS_PER_ORGANISATION},
      (_each, number) => `key-${index}-${number}`,
    ),
  }));
});

Then('every key identifies its organisation', () => {
  const lookup = createLookup(entries);
  for (const index of entries.keys()) {
    for (let number = 0; number < KEYS_PER_ORGANISATION; number += 1) {
      assert.equal(lookup(`key-${index}-${number}`), `org-${index}`);
    }
  }
});
