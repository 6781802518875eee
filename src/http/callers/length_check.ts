import {Transform} from 'node:stream';

/**
 * Creates a stream that fails unless exactly the stated length passes through.
 *
 * @param stated the content-length header; undefined passes any length
 */
export function createLengthCheck(stated: string | undefined): Transform {
  const expected = stated === undefined ? undefined : Number(stated);
  let passed = 0;
  return new Transform({
    transform(chunk: Buffer, _, done) {
      passed += chunk.length;
      if (expected !== undefined && passed > expected) {
        return done(new Error(`the answer exceeds its ${expected} bytes`));
      }
      done(null, chunk);
    },
    flush(done) {
      if (expected === undefined || passed === expected) return done();
      done(new Error(`the answer ended after ${passed} of ${expected} bytes`));
    },
  });
}
