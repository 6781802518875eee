import {randomUUID} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import {InteractiveRequest} from '../../actors/requests';
import {createBadRequest} from '../shared';
import {readRequestBody} from './request_body';
import {
  filterForwardedHeaders,
  readBoolean,
  readNumber,
  readText,
} from './request_headers';

const MAX_DEADLINE_MS = 600_000;
const MAX_TEXT_LENGTH = 255;

const SERVICE_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const PATH_PATTERN = /^[\x21\x24-\x5b\x5d-\x7e]*$/;
/**
 * Matches "." and ".." segments, also percent-encoded. They are rejected
 * because they would let a path escape from its service.
 */
const DOT_SEGMENT_PATTERN = /(^|[/\\])(\.|%2e){1,2}($|[/\\?#])/i;
const UNSUPPORTED_METHODS: readonly string[] = ['TRACE', 'CONNECT'];

/**
 * Parses and validates an interactive request.
 *
 * The signal of the returned request is aborted when the caller's connection
 * closes.
 *
 * @throws RequestError if the request is invalid
 */
export async function readRequest(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<InteractiveRequest> {
  const {service, path} = readTarget(request);
  const abort = new AbortController();
  response.on('close', () => abort.abort());
  const {headers, method = 'GET'} = request;
  if (UNSUPPORTED_METHODS.includes(method)) {
    throw createBadRequest(`method ${method} is not served`);
  }
  const read = {
    id: randomUUID(),
    service,
    team: readText(request, 'sesamefront-team', MAX_TEXT_LENGTH) ?? '',
    method,
    path,
    headers: filterForwardedHeaders(headers),
    idempotent: readBoolean(request, 'sesamefront-idempotent'),
    idempotencyKey: readText(request, 'idempotency-key', MAX_TEXT_LENGTH),
    deadlineMs: readNumber(request, 'sesamefront-deadline-ms', MAX_DEADLINE_MS),
    signal: abort.signal,
  };
  const hasIdempotencyKey = read.idempotencyKey !== undefined;
  return {...read, body: await readRequestBody(request, hasIdempotencyKey)};
}

interface Target {
  readonly service: string;
  readonly path: string;
}

function readTarget(request: IncomingMessage): Target {
  const url = request.url ?? '/';
  const [, , service, ...rest] = url.split('/');
  const [name] = service.split('?');
  if (!SERVICE_PATTERN.test(name)) {
    throw createBadRequest('the path names no service: /services/SERVICE/PATH');
  }
  const query = service.slice(name.length);
  const path = `/${rest.join('/')}${rest.length === 0 ? query : ''}`;
  if (!PATH_PATTERN.test(path)) {
    throw createBadRequest('the path holds characters that must be encoded');
  }
  if (DOT_SEGMENT_PATTERN.test(path.split('?')[0])) {
    throw createBadRequest('the path holds "." or ".." segments');
  }
  return {service: name, path};
}
