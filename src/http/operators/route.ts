import {IncomingMessage, ServerResponse} from 'node:http';

/** A route of the operators' port. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path to match; may contain one ":id" segment that matches any text. */
  readonly path: string;
  /** Whether the route is served without authorization. */
  readonly isPublic?: boolean;
  /** Handles a request; `id` is the text matched by ":id", or empty. */
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
  ) => Promise<void>;
}
