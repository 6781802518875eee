import {Writable} from 'node:stream';
import {LineTarget} from './line_writer';

/**
 * Creates a destination of log lines on a stream, such as standard output.
 *
 * What cannot be written is lost: a full device, a file at its size limit or a
 * reader that is gone must not end the process. The stream is tried again with
 * the next line.
 *
 * @param stream destination of the lines
 * @param onFailure called once for each write that fails
 */
export function createStreamTarget(
  stream: Writable,
  onFailure: () => void,
): LineTarget {
  stream.on('error', () => onFailure());
  return {
    write(text) {
      try {
        stream.write(text);
      } catch {
        onFailure();
      }
    },
    getBufferedLength: () => stream.writableLength,
  };
}
