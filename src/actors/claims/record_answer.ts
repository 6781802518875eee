import {Transform, pipeline} from 'node:stream';
import {RecordedAnswer} from '../../decisions/claims';
import {Answer} from '../requests';

/**
 * Maximum size of a response body that is recorded for repeated requests, in
 * bytes.
 */
const MAX_BODY_BYTES = 2_048;
/** Maximum length of recorded response headers, in characters of JSON. */
const MAX_HEADERS_CHARACTERS = 2_048;

/**
 * Passes a response through and records a copy once its body has ended.
 *
 * @param answer the response of the worker
 * @param record called once, with undefined if the response is too large or was
 *     truncated
 */
export function recordAnswer(
  answer: Answer,
  record: (recorded?: RecordedAnswer) => void,
): Answer {
  const chunks: Buffer[] = [];
  let length = 0;
  const copy = new Transform({
    transform(chunk: Buffer, _, done) {
      length += chunk.length;
      if (length <= MAX_BODY_BYTES) chunks.push(chunk);
      done(null, chunk);
    },
  });
  pipeline(answer.body, copy, error =>
    record(error ? undefined : buildRecord()),
  );

  function buildRecord(): RecordedAnswer | undefined {
    const {status, hostId} = answer;
    const headers = JSON.stringify(answer.headers);
    if (headers.length > MAX_HEADERS_CHARACTERS) return undefined;
    if (length > MAX_BODY_BYTES) return undefined;
    const body = Buffer.concat(chunks).toString('base64');
    return {status, headers, body, hostId};
  }

  return {...answer, body: copy};
}
