import type {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/** An interactive request on its way to a worker. */
export interface WorkerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable | Buffer;
  /** Time left for the whole answer, in ms. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}
