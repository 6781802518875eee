import type {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/** An interactive request to be sent to a worker. */
export interface WorkerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable | Buffer;
  /** Remaining time for the whole answer, in ms. */
  readonly timeoutMs: number;
  /**
   * Maximum wait for the first byte of the answer, in ms; `timeoutMs` if
   * undefined.
   */
  readonly silenceMs?: number;
  /** Whether the request must be sent on a newly opened connection. */
  readonly freshConnection?: boolean;
  readonly signal?: AbortSignal;
}
