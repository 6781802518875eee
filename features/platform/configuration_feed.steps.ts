import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Server, ServerResponse, createServer} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
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
/** Connections that the store has accepted, in order. */
let sockets: Socket[] = [];
/** Connections on which the store answers nothing more. */
let silentSockets = new Set<Socket>();
/** Whether the store answers nothing at all. */
let isSilent = false;

After({tags: '@real-clock'}, () => {
  store?.dispose();
  store = undefined;
  server?.close();
  server?.closeAllConnections();
  server = undefined;
  sockets = [];
  silentSockets = new Set();
  isSilent = false;
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
    if (isSilent || silentSockets.has(request.socket)) return;
    const bodies: Record<string, object> = {
      '/-/kv-watch': {events: [item]},
      '/-/kv-range': {items: [item], hasMore: false},
      '/-/kv-key': item,
    };
    const [path] = (request.url ?? '').split('?');
    send(response, JSON.stringify({...bodies[path], storeRevision: 7}));
  });
  server.on('connection', socket => sockets.push(socket));
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

function readConcurrently(count: number) {
  assert.ok(store);
  const {get} = store;
  return Promise.all(Array.from({length: count}, () => get(KEY)));
}

Given(
  'a store with {int} open connections of one client',
  async (connections: number) => {
    // Answers late enough that calls made at once need a connection each.
    await startStore((response, body) => {
      setTimeout(() => response.end(body), 20);
    });
    await readConcurrently(connections);
    assert.equal(sockets.length, connections);
  },
);

When('the open connections become silent', () => {
  silentSockets = new Set(sockets);
});

When('one of the open connections becomes silent', () => {
  silentSockets = new Set([sockets[0]]);
});

When(
  '{int} calls are made at once, of which one gets no answer',
  async (count: number) => {
    const answers = await readConcurrently(count);
    assert.equal(answers.filter(({isErr}) => isErr).length, 1);
    await readConcurrently(count);
  },
);

Then('the client has opened {int} more connection', (count: number) => {
  assert.equal(sockets.length, 6 + count);
});

Then(
  'one watch of the configuration is lost, and the next one is answered',
  async () => {
    assert.ok(store);
    const lost = await store.watch(KEY, 6, WATCH_WAIT_MS);
    assert.equal(lost.isErr && lost.error, StoreFailure.AnswerLost);
    const next = await store.watch(KEY, 6, WATCH_WAIT_MS);
    assert.ok(next.isOk, 'the next watch is lost as well');
  },
);

When(
  'the store answers nothing while {int} calls are made',
  async (count: number) => {
    isSilent = true;
    await readConcurrently(count);
    isSilent = false;
  },
);

Then('the next {int} calls are answered', async (count: number) => {
  const answers = await readConcurrently(count);
  assert.ok(answers.every(({isOk}) => isOk));
});

let refused: Awaited<ReturnType<typeof readConcurrently>> = [];

When(
  'the store refuses all connections while {int} calls are made',
  async (count: number) => {
    server?.close();
    server?.closeAllConnections();
    // The client notices the closed connections.
    await new Promise(resolve => setTimeout(resolve, 50));
    refused = await readConcurrently(count);
  },
);

Then('all calls fail with {string}', (failure: string) => {
  for (const answer of refused) {
    assert.equal(answer.isErr && answer.error, failure);
  }
});
