import type {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/** A worker's answer; the body stream emits an error if it ends prematurely. */
export interface WorkerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
  /** Whether the whole body is already in memory. */
  readonly whole?: boolean;
}
