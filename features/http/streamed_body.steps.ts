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
import {createCallersHandle} from '../../src/http/callers';
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

interface Received {
  readonly bytes: Buffer;
  readonly error?: Error;
}

let listener: Listener | undefined;
let sent: Buffer;
let arrived: Promise<Received>;
let received: Received;
let workers: Workers;
let sentTo: string[] = [];
let second: Result<unknown, WorkerFailure>;

After(async () => {
  await listener?.dispose();
  listener = undefined;
});

When(
  "a body of {int} bytes is streamed through the callers' port",
  async (length: number) => {
    await listen();
    sent = Buffer.from(Array.from({length}, (_, i) => i % 251));
    const head = headOf(length);
    const answer = await sendRaw(
      (listener as Listener).port,
      Buffer.concat([Buffer.from(head), sent]),
    );
    assert.equal(answer.status, 404);
    received = await arrived;
  },
);

When('the sender of a streamed body goes away halfway', async () => {
  await listen();
  const half = Buffer.alloc(500_000, 'x');
  const socket = connect((listener as Listener).port, ADDRESS);
  socket.write(headOf(2 * half.length));
  socket.write(half, () => socket.destroy());
  received = await arrived;
});

Then('the streamed body arrives whole', () => {
  assert.equal(received.error, undefined);
  assert.ok(received.bytes.equals(sent));
});

Then('the streamed body ends with an error', () => {
  assert.ok(received.error);
});

Given('workers that take a streamed body once', () => {
  sentTo = [];
  workers = createSingleUseWorkers({
    send: async (host: Host) => {
      sentTo.push(host.id);
      return Result.err(WorkerFailure.Busy);
    },
  } as unknown as Workers);
});

When('a streamed body is sent to two workers in turn', async () => {
  const request = {body: Readable.from([Buffer.from('x')])};
  const send = (id: string) =>
    workers.send({id} as Host, request as unknown as WorkerRequest);
  await send('first');
  second = await send('second');
});

Then('only the first worker got the streamed body', () => {
  assert.deepEqual(sentTo, ['first']);
  assert.equal(second.isErr && second.error, WorkerFailure.Cancelled);
});

/** Listens with a face that reads each body to its end. */
async function listen(): Promise<void> {
  let arrive: (read: Received) => void = () => {};
  arrived = new Promise<Received>(resolve => (arrive = resolve));
  const requests: Requests = {
    async run({body}: InteractiveRequest) {
      assert.ok(body instanceof Readable, 'the body is not streamed');
      arrive(await readAll(body));
      return Result.err<Answer, Refusal>(REFUSED);
    },
    drain: async () => {},
    dispose: () => {},
  };
  listener = await createListener(ADDRESS, 0);
  listener.serve(
    createCallersHandle({
      requests,
      jobs: {} as JobApi,
      telemetry: createTelemetry('entry', LogLevel.Error),
      isReady: () => true,
    }),
  );
}

async function readAll(body: Readable): Promise<Received> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of body) chunks.push(chunk as Buffer);
  } catch (error) {
    return {bytes: Buffer.concat(chunks), error: error as Error};
  }
  return {bytes: Buffer.concat(chunks)};
}

function headOf(length: number): string {
  return `POST /services/a/x HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n`;
}
