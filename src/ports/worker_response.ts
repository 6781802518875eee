import type {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/** A worker's answer; the body errors if it ends early. */
export interface WorkerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
  /** True if the body is wholly in memory already. */
  readonly whole?: boolean;
}
