import {IncomingMessage, ServerResponse} from 'node:http';
import {createBadRequest, createBodyTooLarge} from './request_error';

/**
 * Reads a whole body.
 *
 * @throws RequestError if it is longer than the limit
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  checkContentLength(request, limitBytes);
  const chunks: Buffer[] = [];
  let length = 0;
  const body = request.iterator({destroyOnReturn: false});
  for await (const chunk of body as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > limitBytes) throw createBodyTooLarge(limitBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/**
 * Refuses a body whose stated length exceeds a limit before it is read.
 *
 * @throws RequestError if it does
 */
export function checkContentLength(
  request: IncomingMessage,
  limitBytes: number,
): void {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > limitBytes) throw createBodyTooLarge(limitBytes);
}

/**
 * Reads a JSON body; an empty one reads as {}.
 *
 * @throws RequestError if it is too long or no JSON
 */
export async function readJson<T>(
  request: IncomingMessage,
  limitBytes: number,
): Promise<T> {
  const body = await readBody(request, limitBytes);
  if (body.length === 0) return {} as T;
  try {
    return JSON.parse(body.toString()) as T;
  } catch (error) {
    throw createBadRequest(`body is no JSON: ${(error as Error).message}`);
  }
}

/** Sends a JSON answer of known length. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = Buffer.from(JSON.stringify(value) ?? 'null');
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}
