import assert from 'node:assert/strict';
import {Agent, IncomingHttpHeaders, request} from 'node:http';
import {createHash} from 'node:crypto';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {PlatformEntryHost, startPlatformEntryHost} from '../../platform/entry';
import {PlatformSettings} from '../../platform/settings';
import {
  ExternalPlatform,
  createExternalPlatform,
} from '../../src/stand_ins/external_platform';
import {Log, createWorkflowMeter} from '../../src/telemetry';

const POOL = 'planner-api';
/** Loopback address of this test process, distinct for parallel processes. */
const IP = `127.0.2.${Number(process.env.CUCUMBER_WORKER_ID ?? 0) + 1}`;
const CALLERS_PORT = 8634;
const QUEUE_HOST = 'passes.example';
const POLL_INTERVAL_MS = 25;
const START_TIMEOUT_MS = 12_000;
const KEYS = ['key-of-a', 'next-of-a', 'key-of-b', 'key-of-both', 'nobodys'];
const FIRST_VERSION = 3;

interface Answer {
  readonly status: number;
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
}

let platform: ExternalPlatform;
let entry: PlatformEntryHost | undefined;
let meter = createWorkflowMeter();
let lines: string[] = [];
let answers: Answer[] = [];
let agent: Agent | undefined;
let requiresKeys = true;
let submissions = 0;

After({tags: '@real-clock'}, async () => {
  agent?.destroy();
  agent = undefined;
  if (!entry) return;
  await entry.stop();
  entry = undefined;
  platform.dispose();
});

function createConfiguration(version: number, keysOfA: string[]): object {
  const route = {
    service: POOL,
    host: QUEUE_HOST,
    priority: 0,
    maxAttempts: 4,
    stretch: 1.6,
    targetDurationMs: 600,
  };
  const cap = {cpu: 64_000, memMb: 65_536, gpu: 0};
  return {
    version,
    routes: [
      {...route, name: 'quotes', prefix: '/quotes/', public: false},
      {...route, name: 'rollups', prefix: '/rollups/', public: true},
    ],
    services: [{name: POOL, rejectsOverload: true}],
    tenants: [
      {name: 'org-a', apiKeys: [...keysOfA, 'key-of-both'], weight: 5, cap},
      {name: 'org-b', apiKeys: ['key-of-b', 'key-of-both'], weight: 5, cap},
    ],
  };
}

function startEntryHost(): void {
  const write = (message: string, fields: object = {}) =>
    void lines.push(JSON.stringify({message, ...fields}));
  const log: Log = {debug: write, info: write, warn: write, error: write};
  meter = createWorkflowMeter();
  const settings: PlatformSettings = {
    nodeName: 'entry-1',
    availabilityZone: 'zone-a',
    callersAddress: `${IP}:${CALLERS_PORT}`,
    readyAddress: `${IP}:8632`,
    ip: IP,
    processorShare: 1,
    maxDescriptors: 4_100,
    storeAddress: platform.storeAddress,
    machinesAddress: platform.machinesAddress,
    adviceAddress: platform.adviceAddress,
    leastLeaseMs: 1_000,
    longestHoldMs: 10_000,
    holderGapMs: 3_000,
    moveMs: 1_500,
    upkeepMs: 2_000,
    stopMs: 400,
    keepStateMs: 120_000,
    graceMs: 6_000,
    requiresKeys,
    configurationMs: 3_000,
  };
  entry = startPlatformEntryHost(settings, {looksAhead: false}, meter, log);
}

async function start(needsKeys: boolean): Promise<void> {
  requiresKeys = needsKeys;
  lines = [];
  answers = [];
  agent = new Agent({keepAlive: true, maxSockets: 1});
  platform = await createExternalPlatform({
    pools: new Map([[POOL, 2]]),
    sparePool: 'backoffice',
    spareMachines: 0,
  });
  platform.configure(createConfiguration(FIRST_VERSION, ['key-of-a']));
  startEntryHost();
  await waitUntilServed();
}

async function waitUntilServed(): Promise<void> {
  await waitFor(START_TIMEOUT_MS, async () => {
    const leads = platform.keyValue.get('live/leader') !== undefined;
    return leads && (await getStatus('GET', '/rollups/')) === 200;
  });
}

async function waitFor(
  limitMs: number,
  isDone: () => boolean | Promise<boolean>,
): Promise<void> {
  const until = performance.now() + limitMs;
  while (!(await isDone())) {
    assert.ok(performance.now() < until, `not within ${limitMs} ms`);
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Makes a call with any number of `Authorization` headers. */
function call(
  method: string,
  path: string,
  authorization: readonly string[] = [],
  body?: string,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {
        host: IP,
        port: CALLERS_PORT,
        method,
        path,
        agent,
        headers: {
          host: QUEUE_HOST,
          ...(authorization.length > 0 ? {authorization: authorization} : {}),
        } as unknown as Record<string, string>,
      },
      response => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', chunk => (text += chunk));
        response.on('end', () => {
          const answer = {
            status: response.statusCode ?? 0,
            body: text,
            headers: response.headers,
          };
          answers.push(answer);
          resolve(answer);
        });
        response.on('error', reject);
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

async function getStatus(
  method: string,
  path: string,
  authorization: readonly string[] = [],
  body?: string,
): Promise<number> {
  try {
    return (await call(method, path, authorization, body)).status;
  } catch {
    return 0;
  }
}

function submit(
  authorization: readonly string[],
  prefix = '/quotes/',
): Promise<Answer> {
  submissions += 1;
  const id = submissions.toString(16).padStart(16, '0');
  return call('POST', `${prefix}${id}`, authorization, createBody());
}

function createBody(): string {
  const spec = JSON.stringify({workMs: 50, cpuMillis: 1_000, memoryMb: 256});
  const steps = [{count: 1, cpu: 1_000, memMb: 256, estimateMs: 50}];
  return JSON.stringify({spec, steps});
}

function bearer(key: string): readonly string[] {
  return [`Bearer ${key}`];
}

function readAuthorization(text: string): readonly string[] {
  const long = /^a key of (\d+) characters$/.exec(text);
  if (long) return bearer('k'.repeat(Number(long[1])));
  const quoted = /^(?:(\d+) times )?"(.*)"$/.exec(text);
  if (!quoted) return [];
  return Array<string>(Number(quoted[1] ?? 1)).fill(quoted[2]);
}

function listStored(prefix: string): readonly {key: string; value: string}[] {
  return platform.keyValue.list(prefix).entries;
}

Given('an entry host whose callers need keys', () => start(true));

Given('an entry host whose callers need no keys', () => start(false));

When(
  /^a caller submits with the authorization (.*)$/,
  async (authorization: string) => {
    await submit(readAuthorization(authorization));
  },
);

Then(
  'it is turned away with {int} and the error {string}',
  (status: number, error: string) => {
    const answer = answers[answers.length - 1];
    assert.equal(answer.status, status);
    assert.deepEqual(JSON.parse(answer.body), {error});
    assert.equal(answer.headers['www-authenticate'], 'Bearer');
  },
);

Then('the status is {int}', (status: number) =>
  assert.equal(answers[answers.length - 1].status, status),
);

Then('no workflow is stored', () => assert.deepEqual(listStored('work/'), []));

Then(
  /^with(?:out a key| the key "(.*)") the calls of (.*) queue are answered with (.*)$/,
  async (key: string | null, kind: string, statuses: string) => {
    const prefix =
      {a: '/quotes/', 'a public': '/rollups/'}[kind] ?? '/elsewhere/';
    const authorization = key ? bearer(key) : [];
    submissions += 1;
    const id = submissions.toString(16).padStart(16, '0');
    const found = [
      await getStatus('GET', prefix, authorization),
      await getStatus('POST', `${prefix}${id}`, authorization, createBody()),
      await getStatus('GET', `${prefix}${id}`, authorization),
      await getStatus('DELETE', `${prefix}${id}`, authorization),
    ];
    assert.equal(found.join(', '), statuses);
  },
);

Given('a caller with an open connection', async () => {
  assert.equal((await submit(bearer('key-of-a'))).status, 200);
});

When(
  'the operator replaces {string} by {string}',
  (_old: string, key: string) =>
    platform.configure(createConfiguration(FIRST_VERSION + 2, [key])),
);

When('the store reports the first version again', () =>
  platform.configure(createConfiguration(FIRST_VERSION, ['key-of-a'])),
);

When(
  'the entry host restarts with version {int} in the store',
  async (version: number) => {
    await entry?.stop();
    platform.configure(createConfiguration(version, ['next-of-a']));
    startEntryHost();
    await waitUntilServed();
  },
);

Then(
  'on the open connection {string} is answered with {int} within {int} s',
  (key: string, status: number, seconds: number) =>
    waitFor(
      seconds * 1_000,
      async () => (await submit(bearer(key))).status === status,
    ),
);

Then(
  'on the open connection {string} is answered with {int} throughout {int} s',
  async (key: string, status: number, seconds: number) => {
    const until = performance.now() + seconds * 1_000;
    while (performance.now() < until) {
      assert.equal((await submit(bearer(key))).status, status);
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  },
);

Then(
  'on the open connection {string} is answered with {int}',
  async (key: string, status: number) => {
    assert.equal((await submit(bearer(key))).status, status);
  },
);

When(
  'calls are made with valid, withdrawn, unknown and doubled keys',
  async () => {
    await submit(bearer('key-of-b'));
    platform.configure(createConfiguration(FIRST_VERSION + 1, ['next-of-a']));
    await waitFor(
      1_000,
      async () => (await submit(bearer('next-of-a'))).status === 200,
    );
    for (const key of KEYS) {
      await submit(bearer(key));
      await submit([`Bearer ${key}`, `Bearer ${key}`]);
      await submit([key]);
      await submit(bearer(key), `/quotes/${key}/`);
    }
  },
);

Then(
  'no log line, stored value, metric or answer contains a key or its digest',
  async () => {
    const stored = listStored('').filter(({key}) => key !== 'op/config');
    assert.ok(stored.length > 0 && lines.length > 0);
    const texts = [
      ...lines,
      ...stored.map(({key, value}) => `${key} ${value}`),
      await meter.render(),
      ...answers.map(({body, headers}) => body + JSON.stringify(headers)),
    ];
    const secrets = KEYS.flatMap(key => {
      const digest = createHash('sha256').update(key).digest();
      return [key, digest.toString('hex'), digest.toString('base64')];
    });
    for (const secret of secrets) {
      const found = texts.filter(text => text.includes(secret));
      assert.deepEqual(found, [], secret);
    }
  },
);

function listRefusals(): Record<string, unknown>[] {
  return lines
    .map(line => JSON.parse(line) as Record<string, unknown>)
    .filter(({message}) => message === 'key');
}

Then('the refused keys are counted in a metric', async () => {
  const text = await meter.render();
  assert.match(text, /sesamefront_key_refusals_total\{cause="unknown"\} \d+/);
  assert.match(text, /sesamefront_key_refusals_total\{cause="malformed"\} \d+/);
});

Then('log lines name the queue and the version of the configuration', () => {
  const last = listRefusals().pop();
  assert.equal(last?.queue, 'quotes');
  assert.equal(last?.version, FIRST_VERSION + 1);
});

When(
  '{int} calls with unknown keys are made at once',
  async (count: number) => {
    for (let index = 0; index < count; index += 1) {
      await submit(bearer(`unknown-${index}`));
    }
  },
);

Then(
  'at most {int} of them are logged, and the metric counts {int}',
  async (maxLines: number, count: number) => {
    const refusals = listRefusals();
    assert.ok(refusals.length > 0 && refusals.length <= maxLines);
    assert.ok(
      (await meter.render()).includes(
        `sesamefront_key_refusals_total{cause="unknown"} ${count}`,
      ),
    );
  },
);
