import {IncomingMessage, ServerResponse} from 'node:http';

/** One operators' route; the path may hold one ":id" segment. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  /** Open routes need no token. */
  readonly open?: boolean;
  readonly answer: (
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
  ) => Promise<void>;
}
