import assert from 'node:assert/strict';
import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {Server, createServer} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {createPlatformServer} from '../../src/stand_ins/platform';
import {delay} from '../../src/state';
import {getLoopbackAddress} from '../support/loopback_address';

const CALLER_PORT = 8080;
const POLL_MS = 100;
const START_SECONDS = 20;
/** Delay of the error after the start of the process, in ms. */
const ERROR_AFTER_MS = 6_000;
const STEP_TIMEOUT = {timeout: 60_000};

let child: ChildProcess | undefined;
let output = '';
let end: string | undefined;
let other: Server | undefined;
let disposals: (() => unknown)[] = [];

After({tags: '@real-clock'}, async () => {
  if (child && end === undefined) {
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
  other?.close();
  for (const dispose of disposals) await dispose();
  child = other = end = undefined;
  disposals = [];
  output = '';
});

Given("a program that listens on the callers' port", async () => {
  const server = createServer();
  other = server;
  server.listen(CALLER_PORT, getAddress());
  await once(server, 'listening');
});

Given('an entry host is started as a process', STEP_TIMEOUT, () => start([]));

When(
  'an entry host is started as a process, with an unexpected error by {string}',
  STEP_TIMEOUT,
  (call: string) => {
    const raise = call.startsWith('Promise')
      ? call
      : "(() => {throw new Error('thrown')})()";
    const script = `setTimeout(() => ${raise}, ${ERROR_AFTER_MS})`;
    return start(['--import', `data:text/javascript,${script}`]);
  },
);

When(
  'the program ends once the entry host has tried the port',
  STEP_TIMEOUT,
  async () => {
    await waitFor(START_SECONDS, async () => output.includes('EADDRINUSE'));
    other?.close();
  },
);

When(
  'it receives SIGTERM, and again {int} ms later',
  async (delayMs: number) => {
    child?.kill('SIGTERM');
    await delay(delayMs);
    child?.kill('SIGTERM');
  },
);

Then(
  /^the entry host answers within (\d+) seconds?$/,
  STEP_TIMEOUT,
  (seconds: string) => waitFor(Number(seconds), isAlive),
);

Then(
  'within {int} seconds it logs {string} because of {string}',
  STEP_TIMEOUT,
  (seconds: number, message: string, cause: string) =>
    waitFor(seconds, async () => hasLogged(message, cause)),
);

Then('it logs {string} because of {string}', (message: string, cause: string) =>
  assert.ok(hasLogged(message, cause), output),
);

Then(
  'it ends with code {int} within {int} seconds',
  STEP_TIMEOUT,
  async (code: number, seconds: number) => {
    await waitFor(seconds, async () => end !== undefined);
    assert.equal(end, String(code), output);
  },
);

async function start(nodeFlags: readonly string[]): Promise<void> {
  const platform = await createPlatformServer(getAddress(), 0);
  disposals.push(() => platform.dispose());
  const url = `http://${getAddress()}:${platform.port}`;
  const urls = ['--store-url', url, '--host-list-url', url];
  const command = ['src/main.ts', 'run', '--address', getAddress(), ...urls];
  const started = spawn(process.execPath, [...nodeFlags, ...command], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, NODE_OPTIONS: '--import tsx'},
  });
  child = started;
  for (const stream of [started.stdout, started.stderr]) {
    stream.on('data', (chunk: Buffer) => (output += chunk.toString()));
  }
  started.on('exit', (code, signal) => (end = String(signal ?? code)));
}

async function isAlive(): Promise<boolean> {
  const url = `http://${getAddress()}:${CALLER_PORT}/healthz`;
  return fetch(url).then(
    ({ok}) => ok,
    () => false,
  );
}

function hasLogged(message: string, cause: string): boolean {
  const lines = output.split('\n');
  return lines.some(
    line => line.includes(`"message":"${message}"`) && line.includes(cause),
  );
}

async function waitFor(
  seconds: number,
  isMet: () => Promise<boolean>,
): Promise<void> {
  const until = performance.now() + seconds * 1_000;
  while (!(await isMet())) {
    assert.ok(performance.now() < until, output);
    await delay(POLL_MS);
  }
}

function getAddress(): string {
  return getLoopbackAddress(100);
}
