import {Transform} from 'node:stream';

/**
 * Creates a stream that fails unless exactly the stated length passes through.
 *
 * @param contentLength the content-length header; undefined passes any length
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
        return done(new Error(`the answer exceeds its ${expectedBytes} bytes`));
      }
      done(null, chunk);
    },
    flush(done) {
      if (expectedBytes === undefined || receivedBytes === expectedBytes)
        return done();
      done(
        new Error(
          `the answer ended after ${receivedBytes} of ${expectedBytes} bytes`,
        ),
      );
    },
  });
}
