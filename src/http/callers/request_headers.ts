import {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {createBadRequest} from '../shared';

/** Headers that apply to a single connection and are not forwarded. */
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

/**
 * Returns the headers to forward: all except hop-by-hop headers, those named by
 * the connection header, and those reserved for this product.
 */
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
 * Returns the value of a header that must not be repeated.
 *
 * @throws RequestError if the header occurs more than once
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
 * Returns the value of a boolean header.
 *
 * @throws RequestError if the value is neither true nor false
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
 * Returns the value of a header that holds a positive number.
 *
 * @throws RequestError if the value isn't a positive number or exceeds the
 *   maximum
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
 * Returns the value of a header that holds a short printable ASCII text.
 *
 * @throws RequestError if the value is empty, too long or contains other
 *   characters
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
