import {Transform, pipeline} from 'node:stream';
import {RecordedAnswer} from '../../decisions/claims';
import {Answer} from '../requests';

/** Longest body that is kept for repeats, in bytes. */
const MAX_BODY_BYTES = 2_048;
/** Longest headers that are kept for repeats, in characters of JSON text. */
const MAX_HEADERS_CHARACTERS = 2_048;

/**
 * Passes an answer on and records it when its body has ended.
 *
 * @param answer the answer
 * @param record told once: the answer, or nothing if it is too long or was cut
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
  pipeline(answer.body, copy, error => record(error ? undefined : keep()));

  function keep(): RecordedAnswer | undefined {
    const {status, hostId} = answer;
    const headers = JSON.stringify(answer.headers);
    if (headers.length > MAX_HEADERS_CHARACTERS) return undefined;
    if (length > MAX_BODY_BYTES) return undefined;
    const body = Buffer.concat(chunks).toString('base64');
    return {status, headers, body, hostId};
  }

  return {...answer, body: copy};
}
