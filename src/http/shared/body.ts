import {IncomingMessage, ServerResponse} from 'node:http';
import {createBadRequest, createBodyTooLarge} from './request_error';

/**
 * Reads a request body into memory.
 *
 * @throws RequestError if the body exceeds the limit
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
 * Checks the content-length header against a limit before the body is read.
 *
 * @throws RequestError if the announced length exceeds the limit
 */
export function checkContentLength(
  request: IncomingMessage,
  limitBytes: number,
): void {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > limitBytes) throw createBodyTooLarge(limitBytes);
}

/**
 * Reads and parses a JSON body. An empty body yields {}.
 *
 * @throws RequestError if the body exceeds the limit or isn't valid JSON
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

/** Sends a value as a JSON response with a content-length header. */
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
