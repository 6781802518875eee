import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {writeEntrySettings} from '../../bench/workflows/entry_process';
import {
  ExternalPlatform,
  createExternalPlatform,
} from '../../src/stand_ins/external_platform';
import {delay} from '../../src/state';
import {
  CALLERS_PORT,
  EntryProcess,
  METRICS_PORT,
  READY_PORT,
  createEntryProcess,
} from './entry_process';

const QUEUE_HOST = 'callers.example';
const QUEUE_PREFIX = '/work/';
const CONFIGURATION = {
  version: 1,
  routes: [
    {name: 'work', host: QUEUE_HOST, prefix: QUEUE_PREFIX, service: 'planner'},
  ],
  services: [{name: 'planner', rejectsOverload: true}],
};
/** Sources of errors that nothing handles. */
const FAILURES: ReadonlyMap<string, string> = new Map([
  ['throws in a timer', "throw new Error('planted')"],
  ['rejects an ignored call', "Promise.reject(new Error('planted'))"],
]);
const POLL_MS = 50;
const START_MS = 10_000;

let platform: ExternalPlatform | undefined;
let entries: EntryProcess[] = [];
let submission = '';

After({tags: '@real-clock'}, () => {
  for (const entry of entries) entry.dispose();
  platform?.dispose();
  entries = [];
  platform = undefined;
});

Given(
  '{int} entry hosts as processes, with workers',
  {timeout: 2 * START_MS},
  (count: number) => startEntries(count),
);

Given(
  /^1 entry host as a process, with workers, that (.*) after (\d+) seconds$/,
  {timeout: 2 * START_MS},
  (fails: string, seconds: string) => {
    const source = FAILURES.get(fails);
    assert.ok(source);
    return startEntries(
      1,
      `setTimeout(() => { ${source} }, ${Number(seconds) * 1_000});`,
    );
  },
);

async function startEntries(count: number, preload?: string): Promise<void> {
  const started = await createExternalPlatform({
    pools: new Map([['planner', 2]]),
    sparePool: 'spare',
    spareMachines: 0,
  });
  platform = started;
  started.configure(CONFIGURATION);
  for (let index = 0; index < count; index += 1) {
    const entry = createEntryProcess();
    entries.push(entry);
    entry.writeSettings(writeEntrySettings(started, entry.ip, index));
    const path = join(entry.folder, 'preload.cjs');
    if (preload !== undefined) writeFileSync(path, preload);
    entry.start(preload === undefined ? {} : {preload: path});
  }
  const areReady = await waitFor(START_MS, () => isReady(0));
  assert.ok(areReady, describeOutputs());
}

When('another program registers itself at {string}', (address: string) => {
  platform?.keyValue.swap({
    key: 'servers/agent-1',
    expectedVersion: 0,
    value: JSON.stringify({
      service: 'node-agent',
      address,
      zone: 'zone-a',
      version: '3',
      state: 'ready',
      machine: 'machine-of-agent',
      capacity: {cpu: 1_000, memMb: 512},
    }),
  });
});

When(
  'a workflow is submitted {int} seconds later',
  {timeout: 2 * START_MS},
  async (seconds: number) => {
    await delay(seconds * 1_000);
    submission = randomBytes(8).toString('hex');
    const behaviour = {workMs: 100, cpuMillis: 100, memoryMb: 64};
    const step = {count: 1, cpu: 100, memMb: 64, estimateMs: 100};
    const body = {spec: JSON.stringify(behaviour), steps: [step]};
    const isAccepted = await waitFor(START_MS, async () => {
      const answer = await callEntry('POST', JSON.stringify(body));
      return answer?.status === 200;
    });
    assert.ok(isAccepted, describeOutputs());
  },
);

Then(
  'the workflow completes within {int} seconds',
  {timeout: 2 * START_MS},
  async (seconds: number) => {
    const isCompleted = await waitFor(seconds * 1_000, async () => {
      const answer = await callEntry('GET');
      return answer?.state === 'completed';
    });
    assert.ok(isCompleted, describeOutputs());
  },
);

Then('no entry host has ended by itself', () => {
  const ends = entries.map(entry => entry.end);
  assert.deepEqual(
    ends,
    entries.map(() => undefined),
    describeOutputs(),
  );
});

Then('the leader has logged one invalid entry', () => {
  const outputs = entries.map(entry => entry.output);
  const counts = outputs.map(text => text.split('"invalid entry"').length - 1);
  assert.equal(Math.max(...counts), 1, describeOutputs());
});

Then(
  'it has led twice, and logged and counted one error {string}',
  async (activity: string) => {
    const [entry] = entries;
    const lines = entry.output.split('\n');
    const count = (text: string) =>
      lines.filter(line => line.includes(text)).length;
    assert.equal(count('"elected"'), 2, entry.output);
    assert.equal(count('"unexpected error"'), 1, entry.output);
    assert.equal(count(`"activity":"${activity}"`), 1, entry.output);
    const url = `http://${entry.ip}:${METRICS_PORT}/metrics`;
    const text = await fetch(url).then(answer => answer.text());
    const sample = `sesamefront_unexpected_errors_total{activity="${activity}"} 1`;
    assert.ok(text.includes(sample), text);
  },
);

/** Polls until a condition holds; resolves to whether it did in time. */
async function waitFor(
  ms: number,
  holds: () => Promise<boolean>,
): Promise<boolean> {
  const until = performance.now() + ms;
  while (performance.now() < until) {
    if (await holds()) return true;
    await delay(POLL_MS);
  }
  return false;
}

async function isReady(index: number): Promise<boolean> {
  const url = `http://${entries[index].ip}:${READY_PORT}/-/ready`;
  return fetch(url).then(
    ({status}) => status === 200,
    () => false,
  );
}

/** Calls an entry host that still runs, as a caller's retry would. */
async function callEntry(method: 'GET' | 'POST', body?: string) {
  const entry = entries.find(({end}) => end === undefined);
  if (!entry) return undefined;
  const origin = `http://${entry.ip}:${CALLERS_PORT}`;
  try {
    const answer = await request(`${origin}${QUEUE_PREFIX}${submission}`, {
      method,
      body,
      headers: {host: QUEUE_HOST, 'content-type': 'application/json'},
    });
    const fields = (await answer.body.json()) as {state?: string};
    return {status: answer.statusCode, state: fields.state};
  } catch {
    return undefined;
  }
}

function describeOutputs(): string {
  return entries
    .map(entry => `${entry.end ?? 'runs'}: ${entry.output}`)
    .join('\n');
}
