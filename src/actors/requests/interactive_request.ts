import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';

/** An interactive request as it came in. */
export interface InteractiveRequest {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly method: string;
  /** Path and query after the service's name, starting with "/". */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** A short body in memory, or a long one that can be read once. */
  readonly body: Buffer | Readable;
  /** Whether it may be run again; the profile's default if undefined. */
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  /** Time that the caller waits, in ms; the profile's default if undefined. */
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}
