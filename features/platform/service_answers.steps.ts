import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Server, ServerResponse, createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {Result} from 'true-myth/result';
import {createPlatformAdvisor} from '../../platform/advice';
import {createPlatformMachines} from '../../platform/machines';
import {createPlatformStore} from '../../platform/store';
import {createPlatformTaskHosts} from '../../platform/task_hosts';
import {StoreChanges, StoreListing} from '../../src/ports';
import {HoldReport, HostConnection, TaskHosts} from '../../src/ports/hosts';
import {createMirror} from '../../src/state';

/** Time in ms within which every call ends. */
const CALL_LIMIT_MS = 13_000;
const INTERIM_INTERVAL_MS = 100;
/** Number of small pieces that are sent at once. */
const PIECES = 5_000;
/** Wait of a hold call in ms, so that it outlasts an order without an answer. */
const HOLD_WAIT_MS = 1_000;
const CHUNK = 'x'.repeat(1_000_000);
const ORDER = {task: '5c0e7a21d94b36f8.0.0.0', run: 1, fence: 1};
const HOLD = {
  fence: 1,
  seenEnd: 0,
  seenOn: new WeakSet<HostConnection>(),
  untilMs: undefined,
  waitMs: 0,
};
const START = {...ORDER, spec: '', untilMs: 1, checkpoint: '', ticket: ''};
const TRANSACTION = {conditions: new Map(), puts: [], removals: ['a']};

let server: Server | undefined;
let address = '';
let sentBytes = 0;
let received = 0;
let answer: Result<unknown, string>;
let hosts: TaskHosts;
/** Connection of the last report. */
let seenOn = new WeakSet<HostConnection>();
/** Highest end that the host was told to discard. */
let acknowledged = 0;

After({tags: '@real-clock'}, () => {
  server?.close();
  server?.closeAllConnections();
  server = undefined;
});

async function startService(
  respond: (response: ServerResponse, url: string) => void,
): Promise<void> {
  server = createServer((request, response) =>
    respond(response, request.url ?? ''),
  );
  server.listen(0, '0.0.0.0');
  await once(server, 'listening');
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function callService(call: string): Promise<Result<unknown, string>> {
  const store = createPlatformStore(address);
  const hosts = createPlatformTaskHosts();
  const host = {id: 'i-1', address};
  const calls: Record<string, () => Promise<Result<unknown, string>>> = {
    hold: () => hosts.hold(host, HOLD),
    start: () => hosts.start(host, START),
    stop: () => hosts.stop(host, ORDER),
    list: () => store.list('servers/'),
    watch: () => store.watch('servers/', 1, 100),
    get: () => store.get('a'),
    transact: () => store.transact(TRANSACTION),
    grant: () => store.grantLease(1_000),
    machines: () => createPlatformMachines(address).list(),
    advise: () =>
      createPlatformAdvisor(address).requestTickets('a.0.0', ['i-1']),
  };
  return calls[call]();
}

Given(/^a service that answers 200 with(?: (.*))?$/, (body?: string) =>
  startService(response => void response.end(body)),
);

Given('a service whose address is {string}', (text: string) => {
  address = text;
});

Given('a service whose answers never end', () => {
  sentBytes = 0;
  return startService(function send(response) {
    if (response.destroyed) return;
    sentBytes += CHUNK.length;
    response.write(CHUNK, () => send(response));
  });
});

Given('a service whose answers never end, in pieces of one byte', () =>
  startService(response => {
    response.flushHeaders();
    const {socket} = response;
    const pieces = Buffer.from('1\r\nx\r\n'.repeat(PIECES));
    (function send() {
      if (socket?.destroyed === false) {
        socket.write(pieces, () => setImmediate(send));
      }
    })();
  }),
);

Given('a service that answers with interim answers only', () =>
  startService(response => {
    const timer = setInterval(() => {
      if (response.destroyed) clearInterval(timer);
      else response.writeEarlyHints({link: '</a>'});
    }, INTERIM_INTERVAL_MS);
  }),
);

Given(
  'a store that answers each watch at once with {int}',
  async (status: number) => {
    received = 0;
    await startService((response, url) => {
      received += 1;
      response.statusCode = url.startsWith('/-/kv-watch') ? status : 200;
      response.end('{"items":[],"events":[],"storeRevision":5}');
    });
  },
);

When('a client follows a prefix for {int} ms', async (durationMs: number) => {
  const mirror = createMirror(createPlatformStore(address), 'servers/');
  await new Promise(resolve => setTimeout(resolve, durationMs));
  mirror.dispose();
});

Then('the service has received at most {int} calls', (limit: number) => {
  assert.ok(received > 2 && received <= limit, `received ${received}`);
});

Given('a service that stores a registration of {int} bytes', (size: number) => {
  const value = Buffer.alloc(size, 'x').toString('base64');
  const items = [{key: 'servers/i-1', value, revision: 2}];
  const body = JSON.stringify({items, storeRevision: 5});
  return startService(response => void response.end(body));
});

When(/^a client calls "(\w+)"(?: of the hosts)?$/, async (call: string) => {
  const limit = new Promise<never>((_resolve, reject) => {
    setTimeout(
      () => reject(new Error('the call did not end')),
      CALL_LIMIT_MS,
    ).unref();
  });
  answer = await Promise.race([callService(call), limit]);
});

Then('the answer lists {int} machines', (count: number) => {
  assert.ok(answer.isOk && Array.isArray(answer.value));
  assert.equal(answer.value.length, count);
});

When(
  'a client for at most {int} addresses calls {int} hosts, one after the other',
  async (limit: number, count: number) => {
    const hosts = createPlatformTaskHosts(limit);
    const [, port] = address.split(':');
    for (let part = 1; part <= count; part += 1) {
      const host = {id: 'i-1', address: `127.0.0.${part}:${port}`};
      assert.ok((await hosts.hold(host, HOLD)).isOk);
    }
  },
);

Given('a host that lists its ends and leaves orders unanswered', async () => {
  hosts = createPlatformTaskHosts();
  await startHost('/-/hold');
  const report = await hosts.hold({id: 'i-1', address}, HOLD);
  assert.ok(report.isOk);
  seenOn = new WeakSet([report.value.connection]);
});

When(
  'a client calls "hold" while two orders use both connections, and acknowledges the ends of the report',
  async () => {
    acknowledged = 0;
    const host = {id: 'i-1', address};
    const orders = [hosts.start(host, START), hosts.start(host, START)];
    const request = {...HOLD, waitMs: HOLD_WAIT_MS, seenEnd: 5, seenOn};
    answer = await hosts.hold(host, request);
    await Promise.all(orders);
  },
);

Given('a host that lists its ends', async () => {
  hosts = createPlatformTaskHosts();
  await startHost();
  const report = await hosts.hold({id: 'i-1', address}, HOLD);
  assert.ok(report.isOk);
  seenOn = new WeakSet([report.value.connection]);
});

/**
 * Starts a host that keeps the last acknowledgement that it has received.
 *
 * @param answeredPath start of the paths that it answers
 */
async function startHost(answeredPath = '/'): Promise<void> {
  server = createServer(async (request, response) => {
    let text = '';
    for await (const chunk of request) text += String(chunk);
    if (!request.url?.startsWith(answeredPath)) return;
    acknowledged = (JSON.parse(text) as {lastSeen: number}).lastSeen;
    response.end('{"clockMs":5,"running":[],"ended":[]}');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

When(
  'a client calls "hold" and acknowledges the ends of the report',
  async () => {
    acknowledged = 0;
    answer = await hosts.hold(
      {id: 'i-1', address},
      {...HOLD, seenEnd: 5, seenOn},
    );
  },
);

When('the host has closed its connections', async () => {
  server?.closeAllConnections();
  // The client notices it a little later.
  await new Promise(resolve => setTimeout(resolve, 100));
});

Then('the host has received the acknowledgement', () => {
  assert.ok(answer.isOk);
  assert.equal((answer.value as HoldReport).seenEnd, 5);
  assert.equal(acknowledged, 5);
});

Then('the host has received no acknowledgement, as the report says', () => {
  assert.ok(answer.isOk);
  assert.equal((answer.value as HoldReport).seenEnd, 0);
  assert.equal(acknowledged, 0);
});

Then('at most {int} connections are open', async (limit: number) => {
  // Closed connections are noticed a little later.
  await new Promise(resolve => setTimeout(resolve, 100));
  const open = await new Promise<number>((resolve, reject) => {
    server?.getConnections((error, count) =>
      error ? reject(error) : resolve(count),
    );
  });
  assert.ok(open > 0 && open <= limit, `${open} are open`);
});

Then('the call fails with {string}', (failure: string) => {
  assert.equal(answer.isErr ? answer.error : 'success', failure);
});

Then('the client has read less than {int} MB', (limit: number) => {
  assert.ok(sentBytes < limit * 1e6, `${sentBytes} bytes were sent`);
});

Then('the prefix has to be listed again', () => {
  assert.ok(answer.isOk && (answer.value as StoreChanges).compacted);
});

Then('the listed entry is empty', () => {
  assert.ok(answer.isOk);
  const [entry] = (answer.value as StoreListing).entries;
  assert.equal(entry.value, '');
});
