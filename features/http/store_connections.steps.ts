import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {createHttpStore} from '../../src/adapters/store';
import {Store, StoreFailure} from '../../src/ports';
import {createPlatformServer} from '../../src/stand_ins/platform';

const ADDRESS = '127.0.0.1';
const TIMEOUT_MS = 1_000;
/** Number of pieces in which a slow answer is sent. */
const PIECES = 20;

let store: Store;
let url: string;
let disposals: (() => unknown)[] = [];

After(async () => {
  for (const dispose of disposals) await dispose();
  disposals = [];
});

Given(
  'a key-value service with {int} open connections of one client',
  async (connections: number) => {
    const platform = await createPlatformServer(ADDRESS, 0);
    createStore(platform.port);
    disposals.push(() => platform.dispose());
    await readConcurrently(connections);
  },
);

When('its open connections become silent', async () => {
  const body = JSON.stringify({silentConnections: true});
  const response = await request(`${url}/faults`, {method: 'POST', body});
  await response.body.dump();
});

Then(
  'one call to the key-value service is lost and the next {int} calls are answered',
  async (calls: number) => {
    const [first] = await readConcurrently(1);
    assert.equal(first.isErr && first.error, StoreFailure.AnswerLost);
    const later = await readConcurrently(calls);
    assert.ok(later.every(({isOk}) => isOk));
  },
);

Given(
  'a key-value service that answers every call with {int}',
  async (status: number) => {
    const server = createServer((_, response) => {
      response.writeHead(status).end('{}');
    });
    await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
    createStore((server.address() as AddressInfo).port);
    disposals.push(() => server.close());
  },
);

/** Starts a service that sends the given part of each answer, in pieces. */
async function startSlowService(
  transferMs: number,
  share: number,
): Promise<void> {
  const body = JSON.stringify({
    value: {key: 'a', value: 'x'.repeat(100_000), version: 1},
  });
  const end = body.length * share;
  const length = Math.ceil(end / PIECES);
  const server = createServer(async (_, response) => {
    for (let from = 0; from < end; from += length) {
      if (response.destroyed) return;
      response.write(body.slice(from, Math.min(end, from + length)));
      await new Promise(resolve => setTimeout(resolve, transferMs / PIECES));
    }
    if (share === 1) response.end();
  });
  await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
  createStore((server.address() as AddressInfo).port);
  disposals.push(() => {
    server.close();
    server.closeAllConnections();
  });
}

Given(
  'a key-value service that takes {int} ms to transfer an answer',
  (transferMs: number) => startSlowService(transferMs, 1),
);

Given('a key-value service whose answers stop halfway', () =>
  startSlowService(0, 0.5),
);

Then('a value is read from the key-value service', async () => {
  const answer = await store.get('a');
  assert.equal(answer.unwrapOr(undefined)?.value.length, 100_000);
});

Then(
  'a swap at the key-value service fails with {string}',
  async (failure: string) => {
    const answer = await store.swap({key: 'a', expectedVersion: 0, value: 'b'});
    assert.equal(answer.isErr && answer.error, failure);
  },
);

function createStore(port: number): void {
  url = `http://${ADDRESS}:${port}`;
  store = createHttpStore({urls: [url], timeoutMs: TIMEOUT_MS});
  disposals.push(() => store.dispose());
}

function readConcurrently(calls: number) {
  return Promise.all(Array.from({length: calls}, () => store.get('a')));
}
