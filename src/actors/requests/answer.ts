import type {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/**
 * Response of a worker, streamed to the caller; the body emits an error if it
 * is truncated.
 */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
  readonly hostId: string;
  /**
   * Whether this is the recorded response to an earlier request with the same
   * idempotency key.
   */
  readonly replayed?: boolean;
}
