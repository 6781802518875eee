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
  /** Longest wait for the answer's first byte, in ms; timeoutMs if undefined. */
  readonly silenceMs?: number;
  /** True if the request must go on a connection opened for it. */
  readonly freshConnection?: boolean;
  readonly signal?: AbortSignal;
}
