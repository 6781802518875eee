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
import {TaskHost} from '../../src/types/workflow';

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
let hostId = 'i-1';
let hosts: TaskHost[] = [];

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

When('a submission with a text of {int} bytes is decoded', (length: number) => {
  const body = {spec: 'x'.repeat(length), steps: [{count: 1, cpu: 1}]};
  draft = readDraft(JSON.stringify(body));
});

Then('it is read', () => assert.ok(draft));

Then('it is refused', () => assert.equal(draft, undefined));

function readRegistration() {
  return readTaskHost({
    key: `${REGISTRY_PREFIX}${hostId}`,
    value: JSON.stringify(registration),
    version: 1,
  });
}

Given('the registration of a host', () => {
  hostId = 'i-1';
  registration = createRegistration();
  assert.ok(readRegistration());
});

function createRegistration(): Record<string, unknown> {
  return {
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
}

When(/^its field "(.*)" is (.*)$/, (field: string, value: string) => {
  registration[field] = JSON.parse(value);
});

When(/^its id is (.*)$/, (id: string) => {
  hostId = JSON.parse(id);
});

When(
  '{int} registrations with random fields with seed {int} are read',
  (count: number, seed: number) => {
    const number = fc.oneof(fc.double(), fc.integer(), fc.maxSafeNat());
    const capacity = fc.record({cpu: number, memMb: number, gpu: number});
    const address = fc
      .tuple(fc.nat(300), fc.nat(70_000))
      .map(([part, port]) => `10.0.0.${part}:${port}`);
    const changes = fc.record(
      {address, capacity, born: number, coldLeftMs: number},
      {requiredKeys: []},
    );
    const ids = fc.oneof(fc.constant('i-1'), fc.string({unit: 'binary'}));
    hosts = [];
    for (const [id, change] of fc.sample(fc.tuple(ids, changes), {
      numRuns: count,
      seed,
    })) {
      hostId = id;
      registration = {...createRegistration(), ...change};
      const host = readRegistration();
      if (host) hosts.push(host);
    }
  },
);

Then(
  'each names no host, or one whose address, id and amounts are valid',
  () => {
    assert.ok(hosts.length > 0);
    for (const {address, id, capacity, bornAt, coldMs} of hosts) {
      assert.equal(new URL(`http://${address}/`).host, address);
      assert.ok(new Headers({id}).get('id') === id);
      assert.ok(Number.isSafeInteger(bornAt));
      const amounts = [bornAt, coldMs, ...Object.values(capacity)];
      assert.ok(amounts.every(amount => amount >= 0));
    }
  },
);

Then('it names no host', () => assert.equal(readRegistration(), undefined));
