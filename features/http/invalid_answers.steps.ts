import assert from 'node:assert/strict';
import {createServer, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import {After, Given, Then} from '@cucumber/cucumber';
import {createHttpHostList} from '../../src/adapters/host_list';
import {createGrpcPeers} from '../../src/adapters/peer';
import {createHttpStore} from '../../src/adapters/store';
import {createHttpWorkers} from '../../src/adapters/worker';
import {TaskOrder, TaskStart, WorkerRequest, Workers} from '../../src/ports';
import {heartbeatMethod} from '../../src/protocol';
import {createHost, findSite} from '../../src/stand_ins/site';
import {Host, Member} from '../../src/types';

const ADDRESS = '127.0.0.1';
const TIMEOUT_MS = 60_000;
const ANSWER_AFTER_MS = 20;
const PIECE = 'x'.repeat(1_048_576);
const SITE = findSite('orbitica');
const WORKER: Host = {
  ...createHost(SITE, SITE.pools[0], 0, ADDRESS, 10_000),
  id: 'a',
};

let port = 0;
let disposals: (() => unknown)[] = [];

After({tags: '@real-clock'}, () => {
  for (const dispose of disposals) dispose();
  disposals = [];
});

Given(
  'a service that answers every call with {string}',
  startServiceThatAnswers,
);

Given('a host list with one worker and the entry {string}', (entry: string) => {
  const fields = JSON.parse(entry) as object | null | string;
  const isPart = typeof fields === 'object' && fields && !('id' in fields);
  const added = isPart ? {...WORKER, id: 'b', ...fields} : fields;
  const isRepeated = entry === '{"id":"a"}';
  return startServiceThatAnswers(
    JSON.stringify([WORKER, isRepeated ? WORKER : added]),
  );
});

Given('a service whose answers have no end', () =>
  startService(response => {
    const write = () => {
      while (!response.destroyed && response.write(PIECE));
    };
    response.on('drain', write);
    write();
  }),
);

Then('the host list has one worker and reports one invalid entry', async () => {
  const invalid: string[] = [];
  const read = await createHostList(id => invalid.push(id)).read();
  assert.deepEqual(read.isOk && read.value, [WORKER]);
  assert.equal(invalid.length, 1);
});

Then('reading the host list fails', async () => {
  const read = await createHostList(() => {}).read();
  assert.ok(read.isErr);
});

Then(
  'a list, a watch, a swap, a transaction and a grant fail with {string}',
  async (failure: string) => {
    const store = createHttpStore({
      urls: [`http://${ADDRESS}:${port}`],
      timeoutMs: TIMEOUT_MS,
    });
    disposals.push(() => store.dispose());
    const results = await Promise.all([
      store.list('a'),
      store.watch('a', 0, 0),
      store.swap({key: 'a', expectedVersion: 0, value: 'b'}),
      store.transact({conditions: new Map(), puts: [], removals: []}),
      store.grantLease(1_000),
    ]);
    for (const result of results) {
      assert.equal(result.isErr && result.error, failure);
    }
  },
);

Then(
  "a worker's report, the start and the order of a task fail with {string}",
  async (failure: string) => {
    const workers = createWorkers();
    const host = {...WORKER, port};
    const results = await Promise.all([
      workers.report(host),
      workers.startTask(host, {} as TaskStart),
      workers.orderTask(host, 'job', 1, 1, TaskOrder.Stop),
    ]);
    for (const result of results) {
      assert.equal(result.isErr && result.error, failure);
    }
  },
);

Then("a worker's report fails with {string}", async (failure: string) => {
  const result = await createWorkers().report({...WORKER, port});
  assert.equal(result.isErr && result.error, failure);
});

Then(
  'a request to a worker at {string} fails with {string}',
  async (target: string, failure: string) => {
    const [address, portText] = target.split(':');
    const host = {...WORKER, address, port: Number(portText)};
    const result = await createWorkers().send(host, createRequest(TIMEOUT_MS));
    assert.equal(result.isErr && result.error, failure);
  },
);

Then('a call to a member at {string} fails', async (target: string) => {
  const [address, portText] = target.split(':');
  const peers = createGrpcPeers();
  disposals.push(() => peers.dispose());
  const member = {address, peerPort: Number(portText)} as Member;
  const heartbeat = {
    memberId: 'a',
    configurationRevision: 0,
    incarnation: '',
    storeAnswers: true,
  };
  const reply = await peers.call(member, heartbeatMethod, heartbeat, 1_000);
  assert.ok(reply.isErr);
});

Then(
  'a request with a deadline of {int} ms is answered by the worker',
  async (timeoutMs: number) => {
    const request = createRequest(timeoutMs);
    const result = await createWorkers().send({...WORKER, port}, request);
    assert.equal(result.isOk && result.value.status, 200);
  },
);

function createRequest(timeoutMs: number): WorkerRequest {
  const requestId = 'request';
  const body = Buffer.alloc(0);
  return {requestId, method: 'GET', path: '/', body, headers: {}, timeoutMs};
}

function startServiceThatAnswers(answer: string): Promise<void> {
  return startService(response => {
    setTimeout(() => response.end(answer), ANSWER_AFTER_MS);
  });
}

async function startService(
  answer: (response: ServerResponse) => unknown,
): Promise<void> {
  const server = createServer(({headers}, response) => {
    response.setHeader('request-id', headers['request-id'] ?? '');
    answer(response);
  });
  await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
  port = (server.address() as AddressInfo).port;
  disposals.push(() => {
    server.close();
    server.closeAllConnections();
  });
}

function createHostList(onInvalid: (id: string) => void) {
  const url = `http://${ADDRESS}:${port}`;
  const list = createHttpHostList({url, timeoutMs: TIMEOUT_MS, onInvalid});
  disposals.push(() => list.dispose());
  return list;
}

function createWorkers(): Workers {
  const workers = createHttpWorkers({
    connectionsPerWorker: 4,
    controlTimeoutMs: TIMEOUT_MS,
    connectTimeoutMs: TIMEOUT_MS,
  });
  disposals.push(() => workers.dispose());
  return workers;
}
