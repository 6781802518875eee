import {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {
  checkContentLength,
  createBodyTooLarge,
  markStreamed,
  readBody,
} from '../shared';

/** Longest body that is kept in memory, so that it can be sent again, in bytes. */
const MAX_BUFFERED_BYTES = 65_536;
/** Longest body of a request with an idempotency key, in bytes. */
const MAX_KEYED_BYTES = 1_048_576;
/** Longest body at all, in bytes. */
const MAX_STREAMED_BYTES = 67_108_864;

/**
 * Reads a short body whole; a long one is passed on as it comes.
 *
 * A request with an idempotency key is told from others by its whole body, so
 * it is kept in memory up to a limit of its own.
 *
 * @param request the request
 * @param hasIdempotencyKey whether it has an idempotency key
 * @throws RequestError if the body is too long
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
