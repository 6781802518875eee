import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {Readable} from 'node:stream';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {createSingleUseWorkers} from '../../src/actors/claims';
import type {JobApi} from '../../src/actors/jobs';
import type {
  Answer,
  InteractiveRequest,
  Refusal,
  Requests,
} from '../../src/actors/requests';
import {createCallerHandler} from '../../src/http/callers';
import {Listener, createListener} from '../../src/http/shared';
import {WorkerFailure, WorkerRequest, Workers} from '../../src/ports';
import {LogLevel, createTelemetry} from '../../src/telemetry';
import {Host, Outcome, RefusalReason} from '../../src/types';
import {sendRaw} from './raw_client';

const ADDRESS = '127.0.0.1';

const REFUSED: Refusal = {
  reason: RefusalReason.UnknownService,
  outcome: Outcome.NotRun,
  detail: 'read to its end',
};

interface ReceivedBody {
  readonly bytes: Buffer;
  readonly error?: Error;
}

let listener: Listener | undefined;
let sent: Buffer;
let pendingBody: Promise<ReceivedBody>;
let received: ReceivedBody;
let workers: Workers;
let receivers: string[] = [];
let secondResult: Result<unknown, WorkerFailure>;

After(async () => {
  await listener?.dispose();
  listener = undefined;
});

When(
  "a body of {int} bytes is streamed through the callers' port",
  async (length: number) => {
    await startListener();
    sent = Buffer.from(Array.from({length}, (_, i) => i % 251));
    const head = createHead(length);
    const answer = await sendRaw(
      (listener as Listener).port,
      Buffer.concat([Buffer.from(head), sent]),
    );
    assert.equal(answer.status, 404);
    received = await pendingBody;
  },
);

When('the sender of a streamed body disconnects halfway', async () => {
  await startListener();
  const half = Buffer.alloc(500_000, 'x');
  const socket = connect((listener as Listener).port, ADDRESS);
  socket.write(createHead(2 * half.length));
  socket.write(half, () => socket.destroy());
  received = await pendingBody;
});

Then('the streamed body is received completely', () => {
  assert.equal(received.error, undefined);
  assert.ok(received.bytes.equals(sent));
});

Then('the streamed body ends with an error', () => {
  assert.ok(received.error);
});

Given('workers that accept a streamed body only once', () => {
  receivers = [];
  workers = createSingleUseWorkers({
    send: async (host: Host) => {
      receivers.push(host.id);
      return Result.err(WorkerFailure.Busy);
    },
  } as unknown as Workers);
});

When('a streamed body is sent to two workers in sequence', async () => {
  const request = {body: Readable.from([Buffer.from('x')])};
  const send = (id: string) =>
    workers.send({id} as Host, request as unknown as WorkerRequest);
  await send('first');
  secondResult = await send('second');
});

Then('only the first worker received the streamed body', () => {
  assert.deepEqual(receivers, ['first']);
  assert.equal(
    secondResult.isErr && secondResult.error,
    WorkerFailure.Cancelled,
  );
});

/**
 * Starts a callers' port whose requests read the body to its end and are then
 * refused.
 */
async function startListener(): Promise<void> {
  let resolveBody: (read: ReceivedBody) => void = () => {};
  pendingBody = new Promise<ReceivedBody>(resolve => (resolveBody = resolve));
  const requests: Requests = {
    async run({body}: InteractiveRequest) {
      assert.ok(body instanceof Readable, 'the body is not a stream');
      resolveBody(await readAll(body));
      return Result.err<Answer, Refusal>(REFUSED);
    },
    drain: async () => {},
    dispose: () => {},
  };
  listener = await createListener(ADDRESS, 0);
  listener.serve(
    createCallerHandler({
      requests,
      jobs: {} as JobApi,
      telemetry: createTelemetry('entry', LogLevel.Error),
      isReady: () => true,
    }),
  );
}

async function readAll(body: Readable): Promise<ReceivedBody> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of body) chunks.push(chunk as Buffer);
  } catch (error) {
    return {bytes: Buffer.concat(chunks), error: error as Error};
  }
  return {bytes: Buffer.concat(chunks)};
}

function createHead(length: number): string {
  return `POST /services/a/x HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n`;
}
