import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';

/** An interactive request as received from the caller. */
export interface InteractiveRequest {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly method: string;
  /** Path and query string after the service name, starting with "/". */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /**
   * Request body: a buffer if small, otherwise a stream that can be read once.
   */
  readonly body: Buffer | Readable;
  /**
   * Whether the request may be run more than once; defaults to the profile's
   * setting.
   */
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  /** Time that the caller waits, in ms; defaults to the profile's deadline. */
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}
