import {IncomingMessage} from 'node:http';

/** Why a body isn't read. */
export enum BodyFailure {
  TooLarge = 'too large',
  /** The bodies of all requests in progress take too much memory. */
  NoMemory = 'no memory',
}

/** Memory that the bodies of all requests share. */
export interface BodyMemory {
  /** Returns whether that many bytes are left. */
  hasRoom(bytes: number): boolean;
  /** Reserves memory in bytes; false if there is none left. */
  reserve(bytes: number): boolean;
}

const INITIAL_BYTES = 4_096;

/**
 * Reads the body of a request. The rest of a body that isn't read is discarded
 * once the request is answered.
 *
 * @param request request whose body wasn't read yet
 * @param maxBytes maximum size of the body
 * @param memory the memory that requests may take
 * @returns the body as text; rejects if the caller is gone
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  memory: BodyMemory,
): Promise<string | BodyFailure> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > maxBytes) return Promise.resolve(BodyFailure.TooLarge);
  if (!memory.hasRoom(announced)) return Promise.resolve(BodyFailure.NoMemory);
  // One buffer, as each of many small chunks would take more than its content.
  let buffer = Buffer.alloc(0);
  let length = 0;

  function append(chunk: Buffer): BodyFailure | undefined {
    const needed = length + chunk.length;
    if (needed > maxBytes) return BodyFailure.TooLarge;
    if (needed > buffer.length) {
      const larger = Math.max(INITIAL_BYTES, needed, 2 * buffer.length);
      const size = Math.min(maxBytes, larger);
      if (!memory.reserve(size - buffer.length)) return BodyFailure.NoMemory;
      buffer = Buffer.concat([buffer.subarray(0, length)], size);
    }
    chunk.copy(buffer, length);
    length = needed;
    return undefined;
  }

  return new Promise((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      const failure = append(chunk);
      if (!failure) return;
      request.removeAllListeners('data');
      request.pause();
      resolve(failure);
    });
    request.on('end', () => resolve(buffer.toString('utf8', 0, length)));
    request.on('error', reject);
    request.on('close', () => reject(new Error('the caller is gone')));
  });
}
