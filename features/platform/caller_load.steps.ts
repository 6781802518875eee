import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Server} from 'node:http';
import {AddressInfo, Socket, connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Intake, SubmitOutcome} from '../../src/actors/workflows';
import {createCallerServer} from '../../platform/caller_server';
import {readConfiguration} from '../../platform/configuration';

const ANSWER_MS = 2_000;
const STEPS = '"steps":[{"count":1,"cpu":1}]';
const CONFIGURATION = readConfiguration({
  version: 1,
  routes: [{name: 'q', host: 'a.example', prefix: '/q/', service: 's'}],
  services: [{name: 's'}],
});

let server: Server;
let callers: Caller[] = [];
let maxInProgress = 0;

/** One connection and what was received on it. */
interface Caller {
  readonly socket: Socket;
  received: string;
}

After({tags: '@real-clock'}, () => {
  for (const {socket} of callers) socket.destroy();
  callers = [];
  server?.close();
});

Given('a server for callers', async () => {
  let inProgress = 0;
  maxInProgress = 0;
  const submit = async () => {
    inProgress += 1;
    maxInProgress = Math.max(maxInProgress, inProgress);
    await delay(50);
    inProgress -= 1;
    return {outcome: SubmitOutcome.Accepted};
  };
  server = createCallerServer({
    intake: {submit} as unknown as Intake,
    keyCheck: undefined,
    getConfiguration: () => CONFIGURATION,
    maxConnections: 100,
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

function call(text: string): Caller {
  const {port} = server.address() as AddressInfo;
  const caller: Caller = {socket: connect(port, '127.0.0.1'), received: ''};
  caller.socket.on('data', data => (caller.received += data.toString()));
  caller.socket.on('error', () => {});
  caller.socket.write(text);
  callers.push(caller);
  return caller;
}

function writeHead(length: number): string {
  return `POST /q/0123456789abcdef HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${length}\r\n\r\n`;
}

/** Returns the callers that have an answer with the status. */
function listAnswered(status: number): Caller[] {
  return callers.filter(({received}) =>
    received.startsWith(`HTTP/1.1 ${status} `),
  );
}

async function waitUntil(what: string, holds: () => boolean): Promise<void> {
  const until = performance.now() + ANSWER_MS;
  while (!holds()) {
    assert.ok(performance.now() < until, `not in time: ${what}`);
    await delay(10);
  }
}

When(
  'a caller announces a body of {int} bytes',
  (length: number) => void call(writeHead(length)),
);

Then('it is answered with {int}', (status: number) =>
  waitUntil(`answer ${status}`, () => listAnswered(status).length === 1),
);

When(
  '{int} callers send all but 1 of the {int} bytes of a submission',
  (count: number, length: number) => {
    const body = `{${STEPS},"spec":"`.padEnd(length - 2, 'x') + '"';
    for (let i = 0; i < count; i += 1) call(writeHead(length) + body);
  },
);

Then(
  'at least {int} of them are told to come back after a second',
  async (count: number) => {
    await waitUntil('answers', () => listAnswered(503).length >= count);
    for (const {received} of listAnswered(503)) {
      assert.match(received, /retry-after: 1\r\n/);
    }
  },
);

Then('a small submission is accepted', async () => {
  const body = `{${STEPS}}`;
  const caller = call(writeHead(body.length) + body);
  await waitUntil('an answer', () => listAnswered(200).includes(caller));
});

When('the others send their last byte', () => {
  for (const {socket, received} of callers) {
    if (received === '') socket.write('}');
  }
});

Then('they are answered', () =>
  waitUntil('all answers', () => callers.every(({received}) => received)),
);

When(
  'a caller sends {int} requests without reading an answer',
  (count: number) => {
    const body = `{${STEPS}}`;
    const {socket} = call('');
    socket.pause();
    socket.write((writeHead(body.length) + body).repeat(count));
  },
);

Then(
  'its connection is reset with at most {int} of them in progress',
  async (count: number) => {
    const [{socket}] = callers;
    socket.resume();
    await waitUntil('a reset', () => socket.destroyed);
    assert.ok(maxInProgress <= count, String(maxInProgress));
  },
);
