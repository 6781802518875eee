import {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {createBadRequest} from '../shared';

/** Headers that belong to one connection and go no further. */
const HOP_BY_HOP_HEADERS: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  'http2-settings',
];

const RESERVED_PREFIX = 'sesamefront-';

/** Returns the headers that go on to the other side. */
export function filterForwardedHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  const connectionOptions = String(headers.connection ?? '').toLowerCase();
  const dropped = [
    ...HOP_BY_HOP_HEADERS,
    ...connectionOptions.split(/\s*,\s*/),
  ];
  const kept = Object.entries(headers).filter(
    ([name]) => !dropped.includes(name) && !name.startsWith(RESERVED_PREFIX),
  );
  return Object.fromEntries(kept);
}

/**
 * Reads a header that may be given once.
 *
 * @throws RequestError if it is given more than once
 */
export function readHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const values = request.headersDistinct[name] ?? [];
  if (values.length > 1) {
    throw createBadRequest(`header ${name} is given more than once`);
  }
  return values[0];
}

/**
 * Reads a header that is true or false.
 *
 * @throws RequestError if it is anything else
 */
export function readBoolean(
  request: IncomingMessage,
  name: string,
): boolean | undefined {
  const value = readHeader(request, name);
  if (value === undefined) return undefined;
  if (value === 'true') return true;
  if (value === 'false') return false;
  throw createBadRequest(`header ${name} must be true or false`);
}

/**
 * Reads a header that is a positive number.
 *
 * @throws RequestError if it is anything else or above the limit
 */
export function readNumber(
  request: IncomingMessage,
  name: string,
  max: number,
): number | undefined {
  const value = readHeader(request, name);
  if (value === undefined) return undefined;
  const number = /^\d{1,12}(\.\d{1,6})?$/.test(value) ? Number(value) : 0;
  if (number > 0 && number <= max) return number;
  throw createBadRequest(
    `header ${name} must be a positive number up to ${max}`,
  );
}

/**
 * Reads a header that is a short printable text.
 *
 * @throws RequestError if it is empty, too long or holds other characters
 */
export function readText(
  request: IncomingMessage,
  name: string,
  maxLength: number,
): string | undefined {
  const value = readHeader(request, name);
  if (value === undefined) return undefined;
  if (/^[\x20-\x7e]+$/.test(value) && value.length <= maxLength) return value;
  throw createBadRequest(
    `header ${name} must have 1 to ${maxLength} printable ASCII characters`,
  );
}
