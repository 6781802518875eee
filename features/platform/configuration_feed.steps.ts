import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Server, ServerResponse, createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {createPlatformStore} from '../../platform/store';
import {Store, StoreChanges, StoreFailure, StoreListing} from '../../src/ports';

const KEY = 'op/config';
/** A configuration of a few thousand routes. */
const VALUE = 'x'.repeat(600_000);
/** Number of pieces in which a slow answer is transferred. */
const PIECES = 50;
const WATCH_WAIT_MS = 100;

let server: Server | undefined;
let store: Store | undefined;
let answer: Result<StoreListing | StoreChanges, StoreFailure>;
let durationMs = 0;

After({tags: '@real-clock'}, () => {
  store?.dispose();
  store = undefined;
  server?.close();
  server?.closeAllConnections();
  server = undefined;
});

/** Starts a store that passes the body of each answer to a function. */
async function startStore(
  send: (response: ServerResponse, body: string) => void,
): Promise<void> {
  const item = {
    key: KEY,
    value: Buffer.from(VALUE).toString('base64'),
    revision: 7,
    lease: 0,
  };
  server = createServer((request, response) => {
    const rows = request.url?.startsWith('/-/kv-watch')
      ? {events: [item]}
      : {items: [item], hasMore: false};
    send(response, JSON.stringify({...rows, storeRevision: 7}));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  store = createPlatformStore(
    `127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
}

/** Sends a body in equal pieces, spread evenly over the given time. */
async function sendSlowly(
  response: ServerResponse,
  body: string,
  transferMs: number,
): Promise<void> {
  const length = Math.ceil(body.length / PIECES);
  for (let from = 0; from < body.length; from += length) {
    if (response.destroyed) return;
    response.write(body.slice(from, from + length));
    await new Promise(resolve => setTimeout(resolve, transferMs / PIECES));
  }
  response.end();
}

Given(
  'a store that takes {int} ms to transfer an answer',
  (transferMs: number) =>
    startStore((response, body) => void sendSlowly(response, body, transferMs)),
);

Given('a store whose answers stop halfway', () =>
  startStore((response, body) => {
    response.write(body.slice(0, body.length / 2));
  }),
);

When('a client calls {string} for the configuration', async (call: string) => {
  assert.ok(store);
  const startedAt = performance.now();
  answer =
    call === 'list'
      ? await store.list(KEY)
      : await store.watch(KEY, 6, WATCH_WAIT_MS);
  durationMs = performance.now() - startedAt;
});

Then('the configuration is received whole', () => {
  assert.ok(answer.isOk, `failed after ${durationMs} ms`);
  const [item] =
    'entries' in answer.value
      ? answer.value.entries
      : answer.value.changes.map(({entry}) => entry);
  assert.equal(item?.value, VALUE);
});

Then(
  'the call fails with {string} within {int} ms',
  (failure: string, limitMs: number) => {
    assert.equal(answer.isErr && answer.error, failure);
    assert.ok(durationMs < limitMs, `took ${durationMs} ms`);
  },
);
