import {randomUUID} from 'node:crypto';
import {IncomingHttpHeaders, IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import {Answer, InteractiveRequest} from '../../actors/requests';
import {Outcome} from '../../types';
import {readBody, sendProblem} from '../shared';
import {CallersOptions} from './callers_options';

const MAX_BODY_BYTES = 1_048_576;

/** Headers that belong to one connection and go no further. */
const HOP_HEADERS: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
];

/** Answers ANY /services/SERVICE/PATH by a worker of the service's pool. */
export async function answerRequest(
  {requests, telemetry}: CallersOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const startedAt = performance.now();
  const interactive = await readRequest(request, response);
  response.setHeader('sesamefront-request-id', interactive.id);
  const result = await requests.run(interactive);
  if (result.isErr) {
    const {reason, outcome, detail, retryAfterMs} = result.error;
    const requestId = interactive.id;
    record(outcome);
    return sendProblem(response, {
      reason,
      outcome,
      detail,
      retryAfterMs,
      requestId,
    });
  }
  sendAnswer(response, result.value, () => record(Outcome.Run));

  function record(outcome: Outcome): void {
    const seconds = (performance.now() - startedAt) / 1000;
    telemetry.answered(interactive.service, outcome, seconds);
  }
}

async function readRequest(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<InteractiveRequest> {
  const url = request.url ?? '/';
  const [, , service, ...rest] = url.split('/');
  const abort = new AbortController();
  response.on('close', () => abort.abort());
  const {headers} = request;
  return {
    id: randomUUID(),
    service,
    team: readHeader(headers, 'sesamefront-team') ?? '',
    method: request.method ?? 'GET',
    path: `/${rest.join('/')}`,
    headers: forwardHeaders(headers),
    body: await readBody(request, MAX_BODY_BYTES),
    idempotent: readFlag(headers, 'sesamefront-idempotent'),
    idempotencyKey: readHeader(headers, 'idempotency-key'),
    deadlineMs: readNumber(headers, 'sesamefront-deadline-ms'),
    signal: abort.signal,
  };
}

function sendAnswer(
  response: ServerResponse,
  answer: Answer,
  onSent: () => void,
): void {
  response.writeHead(answer.status, {
    ...withoutHopHeaders(answer.headers),
    ...keepLength(answer.headers),
    'sesamefront-outcome': Outcome.Run,
  });
  pipeline(answer.body, response, error => {
    if (error) response.destroy();
    else onSent();
  });
}

function forwardHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const forwarded = withoutHopHeaders(headers);
  for (const name of Object.keys(forwarded)) {
    if (name.startsWith('sesamefront-')) delete forwarded[name];
  }
  return forwarded;
}

function withoutHopHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const kept = {...headers};
  for (const name of HOP_HEADERS) delete kept[name];
  return kept;
}

function keepLength(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const length = headers['content-length'];
  return length === undefined ? {} : {'content-length': length};
}

function readHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readFlag(
  headers: IncomingHttpHeaders,
  name: string,
): boolean | undefined {
  const value = readHeader(headers, name);
  if (value === undefined) return undefined;
  if (value === 'true') return true;
  if (value === 'false') return false;
  throw new Error(`header ${name} must be true or false`);
}

function readNumber(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const value = readHeader(headers, name);
  if (value === undefined) return undefined;
  const number = Number(value);
  if (Number.isFinite(number) && number > 0) return number;
  throw new Error(`header ${name} must be a positive number`);
}
