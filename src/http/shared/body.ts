import {IncomingMessage, ServerResponse} from 'node:http';

/** A body that is larger than its limit or no JSON. */
export class BodyError extends Error {
  constructor(
    message: string,
    readonly tooLarge: boolean,
  ) {
    super(message);
  }
}

/**
 * Reads a whole body.
 *
 * @throws BodyError if it is longer than the limit
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > limitBytes) {
      throw new BodyError(`body exceeds ${limitBytes} bytes`, true);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/**
 * Reads a JSON body; an empty one reads as {}.
 *
 * @throws BodyError if it is too long or no JSON
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
    throw new BodyError(`body is no JSON: ${(error as Error).message}`, false);
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
