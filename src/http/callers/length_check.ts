import {Transform} from 'node:stream';

/**
 * Creates a pass-through stream that fails if the length of its data differs
 * from the content-length header.
 *
 * @param contentLength value of the header; undefined accepts any length
 */
export function createLengthCheck(
  contentLength: string | undefined,
): Transform {
  const expectedBytes =
    contentLength === undefined ? undefined : Number(contentLength);
  let receivedBytes = 0;
  return new Transform({
    transform(chunk: Buffer, _, done) {
      receivedBytes += chunk.length;
      if (expectedBytes !== undefined && receivedBytes > expectedBytes) {
        return done(
          new Error(
            `response body exceeds its content-length of ${expectedBytes} bytes`,
          ),
        );
      }
      done(null, chunk);
    },
    flush(done) {
      if (expectedBytes === undefined || receivedBytes === expectedBytes)
        return done();
      done(
        new Error(
          `response body truncated: got ${receivedBytes} of ${expectedBytes} bytes`,
        ),
      );
    },
  });
}
