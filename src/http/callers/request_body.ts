import {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {
  checkContentLength,
  createBodyTooLarge,
  markStreamed,
  readBody,
} from '../shared';

/**
 * Maximum body that is buffered in memory so that it can be retried, in bytes.
 */
const MAX_BUFFERED_BYTES = 65_536;
/** Maximum body of a request with an idempotency key, in bytes. */
const MAX_KEYED_BYTES = 1_048_576;
/** Maximum body of any request, in bytes. */
const MAX_STREAMED_BYTES = 67_108_864;

/**
 * Reads a request body: buffers a short one and streams a long one.
 *
 * The body of a request with an idempotency key is always buffered, up to a
 * limit of its own, because the whole body is part of the fingerprint that
 * distinguishes requests with the same key.
 *
 * @param request the request
 * @param hasIdempotencyKey whether the request has an idempotency key
 * @throws RequestError if the body exceeds its limit
 */
export async function readRequestBody(
  request: IncomingMessage,
  hasIdempotencyKey: boolean,
): Promise<Buffer | Readable> {
  if (hasIdempotencyKey) return readBody(request, MAX_KEYED_BYTES);
  checkContentLength(request, MAX_STREAMED_BYTES);
  const start: Buffer[] = [];
  let length = 0;
  const body = request.iterator({destroyOnReturn: false});
  for await (const chunk of body as AsyncIterable<Buffer>) {
    start.push(chunk);
    length += chunk.length;
    if (length > MAX_BUFFERED_BYTES) return streamRest(request, start, length);
  }
  return Buffer.concat(start);
}

function streamRest(
  request: IncomingMessage,
  start: readonly Buffer[],
  startLength: number,
): Readable {
  markStreamed(request);

  async function* chunks(): AsyncGenerator<Buffer> {
    let length = startLength;
    yield* start;
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > MAX_STREAMED_BYTES)
        throw createBodyTooLarge(MAX_STREAMED_BYTES);
      yield chunk;
    }
  }

  return Readable.from(chunks());
}
