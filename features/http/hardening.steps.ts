import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {createGrpcPeerServer, createGrpcPeers} from '../../src/adapters/peer';
import type {JobApi} from '../../src/actors/jobs';
import type {Answer, Refusal, Requests} from '../../src/actors/requests';
import {createCallerHandler} from '../../src/http/callers';
import {Route, createOperatorHandler} from '../../src/http/operators';
import {
  Listener,
  ListenerLimits,
  createListener,
  readJson,
  sendJson,
} from '../../src/http/shared';
import {heartbeatMethod} from '../../src/protocol';
import {LogLevel, createTelemetry} from '../../src/telemetry';
import {Member, Outcome, RefusalReason} from '../../src/types';
import {createFuzzInput} from './fuzz_input';
import {RawAnswer, sendRaw} from './raw_client';

const ADDRESS = '127.0.0.1';
const MAX_OPERATOR_BODY_BYTES = 1_000;
const KEY = 'idempotency-key: k';

const UNKNOWN_SERVICE: Refusal = {
  reason: RefusalReason.UnknownService,
  outcome: Outcome.NotRun,
  detail: 'no profile in force names the service',
};

let ports: Readonly<Record<string, Listener>> = {};
let run: Requests['run'];
let answers: RawAnswer[] = [];
let disposals: (() => unknown)[] = [];
let peerServerPort = 0;

After(async () => {
  await Promise.all(disposals.map(dispose => dispose()));
  disposals = [];
});

Given('the HTTP ports of an entry host', () => startListeners({}));

Given('the HTTP ports of an entry host with short timeouts', () =>
  startListeners({
    headersTimeoutMs: 50,
    requestTimeoutMs: 50,
    checkIntervalMs: 20,
  }),
);

When(
  '{int} random inputs of seed {int} are sent to the {string} port',
  async (count: number, seed: number, name: string) => {
    const input = createFuzzInput(seed, count);
    answers = [];
    for (const bytes of input) {
      answers.push(await sendRaw(ports[name].port, bytes));
    }
  },
);

Then('each random input got a 4xx answer that describes the error', () => {
  for (const {status, body, headers} of answers) {
    assert.ok(status >= 400 && status < 500, `${status}: ${headers}`);
    if (status === 417) continue;
    const problem = JSON.parse(body);
    assert.ok(problem.detail || problem.findings, body);
    assert.equal(problem.outcome, Outcome.NotRun);
  }
});

Then('the {string} port still answers', async (name: string) => {
  const answer = await sendRaw(ports[name].port, createGet('/healthz'));
  assert.equal(answer.status, 200);
});

Given('a peer port that answers heartbeats', async () => {
  const server = await createGrpcPeerServer(ADDRESS, 0);
  server.serve([
    {method: heartbeatMethod, handle: async heartbeat => heartbeat},
  ]);
  peerServerPort = server.port;
  disposals.push(() => server.dispose());
});

When(
  '{int} random inputs of seed {int} are sent to the peer port',
  async (count: number, seed: number) => {
    for (const bytes of createFuzzInput(seed, count)) {
      await sendRaw(peerServerPort, bytes);
    }
  },
);

Then('the peer port still answers heartbeats', async () => {
  const peers = createGrpcPeers();
  disposals.push(() => peers.dispose());
  const heartbeat = {
    memberId: 'a',
    configurationRevision: 3,
    incarnation: '',
    storeAnswers: true,
  };
  const member = {address: ADDRESS, peerPort: peerServerPort} as Member;
  const reply = await peers.call(member, heartbeatMethod, heartbeat, 60_000);
  assert.equal(reply.isOk && reply.value.configurationRevision, 3);
});

When(
  "a request with the headers {string} is sent to the callers' port",
  async (headers: string) => {
    const lines = headers.replaceAll('; ', '\r\n');
    const text = `${createPost(lines)}abc`;
    answers = [await sendRaw(ports.callers.port, text)];
  },
);

When(
  "a body of {int} bytes with an idempotency key is sent to the callers' port",
  async (n: number) => {
    const length = `content-length: ${n}`;
    const text = `${createPost(KEY, length)}${'x'.repeat(n)}`;
    answers = [await sendRaw(ports.callers.port, text)];
  },
);

When(
  "a chunked body of {int} bytes with an idempotency key is sent to the callers' port",
  async (n: number) => {
    const body = `${n.toString(16)}\r\n${'x'.repeat(n)}\r\n0\r\n\r\n`;
    const text = `${createPost(KEY, 'transfer-encoding: chunked')}${body}`;
    answers = [await sendRaw(ports.callers.port, text)];
  },
);

When(
  "a request with a content length of {int} bytes is sent to the callers' port",
  async (n: number) => {
    const text = createPost(`content-length: ${n}`);
    answers = [await sendRaw(ports.callers.port, text)];
  },
);

When(
  "headers of {int} bytes are sent to the callers' port",
  async (n: number) => {
    const text = `GET / HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(n)}\r\n\r\n`;
    answers = [await sendRaw(ports.callers.port, text)];
  },
);

When(
  "an incomplete request is sent to the callers' port and its connection stays open",
  async () => {
    const incomplete = 'GET /services/a/x HTTP/1.1\r\nhost: a\r\nx';
    answers = [await sendRaw(ports.callers.port, incomplete, true)];
  },
);

When(
  'the answer of a worker has a content length of 10 bytes and a body of {int} bytes',
  async (bytes: number) => {
    run = async () =>
      Result.ok<Answer, Refusal>({
        status: 200,
        headers: {'content-length': '10'},
        body: Readable.from([Buffer.alloc(bytes, 'x')]),
        hostId: 'worker',
      });
    answers = [await sendRaw(ports.callers.port, createGet('/services/a/x'))];
  },
);

Then('the caller does not receive a complete answer', () => {
  const [{status, body}] = answers;
  assert.ok(status === 0 || body.length !== 10, `${status} ${body}`);
});

When('malformed bytes follow a running request', async () => {
  let release = () => {};
  const running = new Promise<void>(started => {
    run = () =>
      new Promise(resolve => {
        started();
        release = () => resolve(Result.err(UNKNOWN_SERVICE));
      });
  });
  const text = `${createGet('/services/a/x')}garbage\r\n\r\n`;
  const sent = sendRaw(ports.callers.port, text, true);
  await running;
  release();
  answers = [await sent];
});

Then('the caller receives only the answer to its request', () => {
  const [{status, body, trailing}] = answers;
  assert.equal(status, 404);
  assert.equal(JSON.parse(body).reason, RefusalReason.UnknownService);
  assert.equal(trailing, '');
});

When('an internal error occurs while a request is running', async () => {
  run = () => Promise.reject(new Error('injected by the test'));
  answers = [await sendRaw(ports.callers.port, createGet('/services/a/x'))];
});

When("the callers' listener starts closing", () => {
  ports.callers.startClosing();
});

Then("the next answer of the callers' port closes its connection", async () => {
  const answer = await sendRaw(ports.callers.port, createGet('/healthz'), true);
  assert.equal(answer.status, 200);
  assert.match(answer.headers, /connection: close/i);
});

Then(
  "the callers' port answers {int} with {string}",
  (status: number, detail: string) => {
    const [answer] = answers;
    assert.equal(answer.status, status, answer.headers);
    assert.ok(answer.body.includes(detail), answer.body);
  },
);

Then("the answer's outcome is {string}", (outcome: string) => {
  assert.equal(JSON.parse(answers[0].body).outcome, outcome);
});

Then(
  "the callers' port answers {int} to {string}",
  async (status: number, target: string) => {
    const answer = await sendRaw(ports.callers.port, createGet(target));
    assert.equal(answer.status, status);
    assert.ok(JSON.parse(answer.body).detail);
  },
);

async function startListeners(limits: ListenerLimits): Promise<void> {
  run = async () => Result.err<Answer, Refusal>(UNKNOWN_SERVICE);
  const telemetry = createTelemetry('entry', LogLevel.Error);
  const refuseJob = async () => Result.err(RefusalReason.NotFound);
  const jobs = {
    submit: refuseJob,
    list: refuseJob,
    get: refuseJob,
    cancel: refuseJob,
  } as unknown as JobApi;
  const requests: Requests = {
    run: request => run(request),
    drain: async () => {},
    dispose: () => {},
  };
  const callers = await createListener(ADDRESS, 0, limits);
  const isReady = () => true;
  callers.serve(createCallerHandler({requests, jobs, telemetry, isReady}));
  const operators = await createListener(ADDRESS, 0, limits);
  operators.serve(createOperatorHandler(createRoutes(), 'token'));
  ports = {callers, operators};
  disposals.push(
    () => callers.dispose(),
    () => operators.dispose(),
  );
}

function createRoutes(): readonly Route[] {
  return [
    {
      method: 'GET',
      path: '/healthz',
      isPublic: true,
      handle: async (_, response) => sendJson(response, 200, {}),
    },
    {
      method: 'PUT',
      path: '/v1/configuration',
      isPublic: true,
      handle: async (request, response) => {
        await readJson(request, MAX_OPERATOR_BODY_BYTES);
        sendJson(response, 422, {detail: 'no', outcome: Outcome.NotRun});
      },
    },
    {
      method: 'GET',
      path: '/v1/hosts/:id',
      isPublic: true,
      handle: async (_, response) =>
        sendJson(response, 404, {detail: 'no host', outcome: Outcome.NotRun}),
    },
  ];
}

function createPost(...headers: readonly string[]): string {
  return ['POST /services/a/x HTTP/1.1', 'host: a', ...headers, '', ''].join(
    '\r\n',
  );
}

function createGet(target: string): string {
  return `GET ${target} HTTP/1.1\r\nhost: a\r\n\r\n`;
}
