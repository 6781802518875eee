import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {readBearerKey} from '../../platform/authorization';
import {readConfiguration} from '../../platform/configuration';
import {
  REGISTRY_PREFIX,
  parseFields,
  readTaskHost,
} from '../../platform/registry';
import {readDraft} from '../../platform/submission';
import {readWave} from '../../platform/waves';

const DECODERS: Readonly<Record<string, (text: string) => unknown>> = {
  registrations: text =>
    readTaskHost({key: `${REGISTRY_PREFIX}i-1`, value: text, version: 1}),
  configurations: text => readConfiguration(parseFields(text)),
  waves: text => readWave(parseFields(text)),
  submissions: readDraft,
  organisations: text => {
    const {tenants = text} = parseFields(text);
    return readConfiguration({version: 1, tenants});
  },
  authorizations: text => readBearerKey([text]),
};

/** Field names of the protocol, with which random values get further. */
const NAMES = [
  'service',
  'address',
  'state',
  'capacity',
  'cpu',
  'labels',
  'version',
  'routes',
  'services',
  'advice',
  'wave',
  'machines',
  'steps',
  'count',
  'after',
  'repeatCount',
  'tenants',
  'name',
  'apiKeys',
  'cap',
  'weight',
  '__proto__',
  'constructor',
];

const RANDOM_TEXTS = fc.oneof(
  fc.string({unit: 'binary'}),
  fc.json({maxDepth: 30}),
  fc
    .letrec(tie => ({
      value: fc.oneof(
        {maxDepth: 5},
        fc.double(),
        fc.integer(),
        fc.string(),
        fc.constantFrom(null, true, false, 'ready', '10.0.0.1:80', 1e308),
        fc.array(tie('value'), {maxLength: 4}),
        fc.dictionary(fc.constantFrom(...NAMES), tie('value'), {maxKeys: 6}),
      ),
    }))
    .value.map(value => JSON.stringify(value) ?? ''),
);

let failures: string[] = [];
let draft: unknown;
let registration: Record<string, unknown> = {};

When(
  '{int} random values with seed {int} are decoded as {word}',
  (count: number, seed: number, kind: string) => {
    failures = [];
    for (const text of fc.sample(RANDOM_TEXTS, {numRuns: count, seed})) {
      try {
        DECODERS[kind](text);
      } catch (error) {
        failures.push(`${(error as Error).message}: ${text}`);
      }
    }
  },
);

Then('no decoder has failed', () => assert.deepEqual(failures, []));

When(
  /^a submission with the steps (.*) and (\d+) occurrences is decoded$/,
  (steps: string, count: string) => {
    const body = {
      spec: 'x',
      steps: JSON.parse(steps),
      repeatCount: Number(count),
      firstMs: 1,
    };
    draft = readDraft(JSON.stringify(body));
  },
);

Then('it is refused', () => assert.equal(draft, undefined));

function readRegistration() {
  return readTaskHost({
    key: `${REGISTRY_PREFIX}i-1`,
    value: JSON.stringify(registration),
    version: 1,
  });
}

Given('the registration of a host', () => {
  registration = {
    service: 'planner-api',
    address: '10.128.0.9:8080',
    zone: 'sjo-a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldLeftMs: 0,
    capacity: {cpu: 16_000, memMb: 32_768, gpu: 0},
    labels: ['a', 'r1-3'],
    sequence: 4,
  };
  assert.ok(readRegistration());
});

When(/^its field "(.*)" is (.*)$/, (field: string, value: string) => {
  registration[field] = JSON.parse(value);
});

Then('it names no host', () => assert.equal(readRegistration(), undefined));
