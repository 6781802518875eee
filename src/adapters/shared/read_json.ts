import type {Dispatcher} from 'undici';

/**
 * Reads and parses the JSON body of an answer.
 *
 * @param body the body, which is closed if it is too long
 * @param limitBytes maximum length of the body
 * @param onProgress called with each piece that arrives
 * @throws Error if the body is too long or isn't JSON
 */
export async function readJson(
  body: Dispatcher.ResponseData['body'],
  limitBytes: number,
  onProgress: () => void = () => {},
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > limitBytes) {
      throw new Error(`the answer is longer than ${limitBytes} bytes`);
    }
    chunks.push(chunk);
    onProgress();
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}
