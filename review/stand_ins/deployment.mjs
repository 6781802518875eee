import console from 'node:console';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {randomBytes} from 'node:crypto';
import {startEntry} from './entry.mjs';
import {createMachines} from './machines.mjs';
import {createStore} from './store.mjs';
import {createGangs, createWorker} from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const SERVICE = 'desk';
const QUEUE = {
  name: 'r-checks',
  host: 'checks.example',
  prefix: '/checks/',
  service: SERVICE,
  priority: 0,
  maxAttempts: 4,
  stretch: 1.6,
  targetDurationMs: 600,
  timeoutMs: 3_000,
  kind: 'non_idempotent',
};

/** Bounds and limits as DEPLOY.md shows them, those of the site fbmro-flow. */
const SETTINGS = {
  'bounds.contactMs': 3_000,
  'bounds.ackMs': 4_000,
  'bounds.drainMs': 2_000,
  'bounds.graceS': 6,
  'bounds.configApplyMs': 2_000,
  'bounds.holdMaxMs': 10_000,
  'bounds.stopMs': 900,
  'bounds.gangTimeoutMs': 3_000,
  'bounds.cancel_ms': 3_000,
  'bounds.visible_ms': 3_000,
  'bounds.finish_s': 14,
  'bounds.status_s': 120,
  'bounds.moveS': 1.5,
  'bounds.upkeepS': 2,
  'bounds.leaseMs': 3_000,
  'platform.writesPerS': 400,
  'platform.readsPerS': 2_000,
  'platform.historyS': 20,
  'platform.valueBytes': 1_048_576,
  'platform.ttlMinMs': 1_000,
};

export const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Whether the disruption of the case is left out. */
export const IS_CALM = process.env.TROUBLE === '0';

/**
 * Runs a case: starts a deployment, plays the case, writes the record and ends
 * all processes. The exit code is 1 if the rule was broken, 0 if it held and 2
 * if the case could not run.
 *
 * @param folder folder of the case
 * @param options number of entry hosts, and options of each worker
 * @param play plays the case; returns the broken rules, as sentences
 */
export async function runCase(folder, {entries, workers}, play) {
  const lines = [];
  const events = [];
  const startedAt = performance.now();
  const now = () => Math.round(performance.now() - startedAt);

  /** Notes an event of a stand-in or of the case. */
  function record(kind, fields = {}) {
    const event = {at: now(), kind, ...fields};
    events.push(event);
    const rest = Object.entries(fields).map(([name, value]) => {
      return `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`;
    });
    lines.push(`${String(event.at).padStart(6)} ms  ${kind} ${rest.join(' ')}`);
  }

  const temporary = mkdtempSync(join(tmpdir(), 'sesamefront-review-'));
  const deployment = {
    record,
    events,
    now,
    entries: [],
    workers: [],
    store: createStore(SETTINGS['platform.ttlMinMs']),
  };
  let code = 2;
  try {
    await start(deployment, temporary, entries, workers);
    const broken = await play(deployment);
    for (const sentence of broken) record('BROKEN', {what: sentence});
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    record('could not run', {cause: error.stack});
  }
  for (const entry of deployment.entries) entry.kill();
  record('result', {trouble: !IS_CALM, code});
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  console.log(lines.slice(-12).join('\n'));
  if (process.env.KEEP_LOGS) console.log(`logs: ${temporary}`);
  else rmSync(temporary, {recursive: true, force: true});
  process.exit(code);
}

async function start(deployment, folder, entries, workers) {
  const {store, record} = deployment;
  const host = '127.0.0.1';
  const gangs = createGangs();
  const addresses = {store: `${host}:${await store.listen(host)}`};
  for (const [index, options] of workers.entries()) {
    const worker = createWorker({
      id: `i-${index + 1}`,
      machine: `m-${index + 1}`,
      service: SERVICE,
      host,
      store,
      record,
      gangs,
      ...options,
    });
    await worker.start();
    deployment.workers.push(worker);
  }
  const machines = createMachines(deployment.workers);
  addresses.machines = `${host}:${await machines.listen(host)}`;
  // The queue has no advice, so the service of that name is never called.
  addresses.advice = addresses.machines;
  store.write('op/config', {
    version: 1,
    routes: [QUEUE],
    services: [{name: SERVICE, rejectsOverload: true, spare: false}],
    limits: {maxHeaderBytes: 16_384, maxBodyBytes: 262_144},
  });
  for (let index = 1; index <= entries; index += 1) {
    const entry = await startEntry({
      root: ROOT,
      folder,
      name: `front-${index}`,
      addresses,
      settings: SETTINGS,
      onOwnEnd: end => record('entry host ended by itself', end),
    });
    deployment.entries.push(entry);
  }
  await waitFor('an accepted submission', 20_000, async () => {
    const {status} = await submit(deployment, 0, {count: 1, workMs: 50});
    return status === 200;
  });
  // The first leader has reached all workers by then.
  await delay(2_500);
}

/** Waits until a condition holds; throws if it doesn't in time. */
export async function waitFor(what, timeoutMs, holds) {
  const until = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > until) throw new Error(`no ${what} in time`);
    await delay(50);
  }
}

function call(deployment, index, method, path, body) {
  const [host, port] = deployment.entries[index].front.split(':');
  return new Promise(resolve => {
    const sent = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          host: QUEUE.host,
          'content-type': 'application/json',
          'x-deadline-ms': '3000',
        },
        timeout: 3_000,
      },
      async response => {
        let text = '';
        try {
          for await (const chunk of response) text += chunk;
          resolve({
            status: response.statusCode,
            body: JSON.parse(text || '{}'),
          });
        } catch {
          resolve({status: 0});
        }
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve({status: 0}));
    sent.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/**
 * Hands in a submission of one step at an entry host.
 *
 * @returns the status and the id
 */
export async function submit(
  deployment,
  index,
  {count, workMs = 0, cpu = 1_000, lasts = false, gang = false, ...step},
) {
  const id = randomBytes(8).toString('hex');
  const members = gang ? {gang: count} : {};
  const spec = JSON.stringify({workMs, cpu, lasts, ...members});
  const {status} = await call(deployment, index, 'POST', `/checks/${id}`, {
    spec,
    steps: [
      {
        count,
        cpu,
        memMb: 64,
        estimateMs: workMs,
        ...(lasts ? {longRunning: true} : {}),
        ...(gang ? {gang: true, savesProgress: true} : {}),
        ...step,
      },
    ],
  });
  deployment.record('submission', {id, count, workMs, lasts, status});
  return {id, status};
}

/** Asks an entry host for the state of a submission. */
export async function readState(deployment, index, id) {
  const {status, body} = await call(deployment, index, 'GET', `/checks/${id}`);
  const state = status === 200 ? body.state : undefined;
  deployment.record('state', {id, status, state});
  return {status, state};
}

/** Returns the index of the entry host that leads, by its own log. */
export function findLeader({entries}) {
  let leader = -1;
  let highest = 0;
  for (const [index, entry] of entries.entries()) {
    for (const [, fence] of entry
      .readLog()
      .matchAll(/"decision":"elected","fence":(\d+)/g)) {
      if (Number(fence) < highest) continue;
      highest = Number(fence);
      leader = index;
    }
  }
  return leader;
}
