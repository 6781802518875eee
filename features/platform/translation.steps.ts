import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {PlatformEntryHost, startPlatformEntryHost} from '../../platform/entry';
import {PlatformSettings} from '../../platform/settings';
import {FleetEventKind, TaskBehaviour} from '../../src/stand_ins/fleet';
import {
  ExternalPlatform,
  createExternalPlatform,
} from '../../src/stand_ins/external_platform';
import {LogLevel, createLog, createWorkflowMeter} from '../../src/telemetry';

const POOL = 'planner-api';
const SPARE_POOL = 'backoffice';
/** Loopback address of this test process, distinct for parallel processes. */
const IP = `127.0.1.${Number(process.env.CUCUMBER_WORKER_ID ?? 0) + 1}`;
const CALLERS = `${IP}:8624`;
const QUEUE_HOST = 'passes.example';
const BEHAVIOUR: TaskBehaviour = {
  workMs: 200,
  cpuMillis: 1_000,
  memoryMb: 256,
};
/** Interval in ms between two checks of a condition. */
const POLL_INTERVAL_MS = 25;
/**
 * Maximum time in s until an entry host serves; the start time that the
 * external platform allows.
 */
const START_TIMEOUT_S = 12;
const CONFIGURATION = {
  version: 3,
  routes: [
    createRoute('quotes', '/quotes/'),
    {
      ...createRoute('licensed', '/licensed/'),
      advice: {decideMs: 1, eachMs: 1, validMs: 5_000},
    },
  ],
  services: [
    {name: POOL, rejectsOverload: true},
    {name: SPARE_POOL, rejectsOverload: true, spare: true},
  ],
  limits: {},
};

let platform: ExternalPlatform;
let entry: PlatformEntryHost | undefined;
let answer: {
  status: number;
  body: string;
  retryAfter: string | string[] | undefined;
};
let lastPath = '';

function createRoute(name: string, prefix: string): object {
  return {
    name,
    service: POOL,
    host: QUEUE_HOST,
    prefix,
    priority: 0,
    maxAttempts: 4,
    stretch: 1.6,
    targetDurationMs: 600,
  };
}

function createSettings(): PlatformSettings {
  return {
    nodeName: 'entry-1',
    availabilityZone: 'zone-a',
    callersAddress: CALLERS,
    readyAddress: `${IP}:8622`,
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
    requiresKeys: false,
    configurationMs: 3_000,
  };
}

async function start(hosts: number, configuration?: object): Promise<void> {
  platform = await createExternalPlatform({
    pools: new Map([[POOL, hosts]]),
    sparePool: SPARE_POOL,
    spareMachines: 2,
  });
  if (configuration) platform.configure(configuration);
  const log = createLog({member: 'entry-1'}, LogLevel.Error);
  entry = startPlatformEntryHost(
    createSettings(),
    {looksAhead: true},
    createWorkflowMeter(),
    log,
  );
  const hasLeader = () => platform.keyValue.get('live/leader') !== undefined;
  await waitFor(START_TIMEOUT_S, hasLeader);
  if (configuration) {
    const isServed = async () => (await call('GET', '/quotes/')) === 200;
    await waitFor(START_TIMEOUT_S, isServed);
  }
}

After({tags: '@real-clock'}, async () => {
  if (!entry) return;
  await entry.stop();
  entry = undefined;
  platform.dispose();
});

/** Sends a request as a caller, stores the answer and returns its status. */
async function call(
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: string,
): Promise<number> {
  const {
    statusCode,
    headers,
    body: reply,
  } = await request(`http://${CALLERS}${path}`, {
    method,
    body,
    headers: {host: QUEUE_HOST},
    reset: true,
  });
  answer = {
    status: statusCode,
    body: await reply.text(),
    retryAfter: headers['retry-after'],
  };
  return answer.status;
}

async function waitFor(
  seconds: number,
  isDone: () => boolean | Promise<boolean>,
): Promise<void> {
  const until = performance.now() + seconds * 1_000;
  while (!(await isDone())) {
    assert.ok(performance.now() < until, `did not happen within ${seconds} s`);
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function submit(
  path: string,
  steps: readonly object[],
  behaviour: Partial<TaskBehaviour> = {},
): Promise<number> {
  lastPath = path;
  const spec = JSON.stringify({...BEHAVIOUR, ...behaviour});
  return call('POST', path, JSON.stringify({spec, steps}));
}

function createStep(count: number, change: object = {}): object {
  const {cpuMillis: cpu, memoryMb: memMb, workMs: estimateMs} = BEHAVIOUR;
  return {count, cpu, memMb, estimateMs, ...change};
}

Given(
  'the external platform with {int} hosts and an entry host',
  (hosts: number) => start(hosts, CONFIGURATION),
);

Given('an entry host and the external platform without a configuration', () =>
  start(1),
);

When(
  'a caller submits {string} with {int} tasks followed by {int} tasks',
  async (id: string, first: number, second: number) => {
    const steps = [createStep(first), createStep(second, {after: [0]})];
    await submit(`/quotes/${id}`, steps);
  },
);

When('a caller submits {string} with lasting tasks', async (id: string) => {
  const step = createStep(2, {longRunning: true, maxPerServer: 1});
  await submit(`/quotes/${id}`, [step], {lasting: true});
  await waitFor(3, () => listRuns().length === 2);
});

When(
  'a caller submits {string} to the advised queue with {int} tasks',
  async (id: string, count: number) => {
    await submit(`/licensed/${id}`, [createStep(count)], {ticket: true});
  },
);

When('the caller submits to a path that belongs to no queue', () =>
  submit('/elsewhere/00000000000000a9', [createStep(1)]),
);

When('the caller submits {string} with an invalid body', (id: string) =>
  call('POST', `/quotes/${id}`, 'not a submission'),
);

When('the caller cancels {string}', (id: string) =>
  call('DELETE', `/quotes/${id}`),
);

When('the caller reads the state of {string}', (id: string) =>
  call('GET', `/quotes/${id}`),
);

When(
  'the operator declares wave {int} over all machines with a duration of {int} s and at most {int} machines down',
  (wave: number, durationS: number, cap: number) => {
    const machines = [...platform.fleet.machines.keys()];
    platform.declareWave({wave, machines, durationS, cap});
  },
);

Then('the answer is {int}', (status: number) => {
  assert.equal(answer.status, status, answer.body);
});

Then('the answer states when to retry', () => {
  assert.ok(Number(answer.retryAfter) >= 1);
});

Then(
  'the state is reported as {string} within {int} s',
  (state: string, seconds: number) =>
    waitFor(seconds, async () => {
      await call('GET', lastPath);
      return answer.body === JSON.stringify({state});
    }),
);

Then('{int} submissions are reported as waiting', async (waiting: number) => {
  await call('GET', '/quotes/');
  assert.deepEqual(JSON.parse(answer.body), {waiting});
});

function listRuns(): readonly string[] {
  return [...platform.fleet.hosts.values()].flatMap(host => host.listRuns());
}

Then("every task has run exactly once on the platform's hosts", () => {
  const starts = platform.fleet.events.filter(
    ({kind}) => kind === FleetEventKind.Start,
  );
  assert.equal(starts.length, 8);
  assert.equal(new Set(starts.map(({task}) => task)).size, 8);
});

Then("all runs on the platform's hosts end within {int} s", (seconds: number) =>
  waitFor(seconds, () => listRuns().length === 0),
);

Then(
  'wave {int} is reported as {string} within {int} s',
  (wave: number, state: string, seconds: number) =>
    waitFor(seconds, () => platform.readWaveState(wave) === state),
);
