import type {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/** A worker's answer on its way to the caller; the body errors if it is cut short. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
  readonly hostId: string;
  /** True if it is the recorded answer to an earlier request with the same key. */
  readonly replayed?: boolean;
}
