import {IncomingMessage, ServerResponse} from 'node:http';
import {Duplex} from 'node:stream';

/** Requests that are not answered yet, by connection. */
export interface OpenRequests {
  add(request: IncomingMessage, response: ServerResponse): void;
  /** Counts the open requests of a connection that came in whole. */
  countWhole(socket: Duplex): number;
  /** Tells whether an open request's answer, or its run, has begun. */
  hasStarted(socket: Duplex): boolean;
  /** Ends a connection once its open requests are answered. */
  endAfterAnswers(socket: Duplex): void;
}

interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const streamed = new WeakSet<IncomingMessage>();

/** Notes that a request is sent on before its body has come in whole. */
export function markStreamed(request: IncomingMessage): void {
  streamed.add(request);
}

/** Creates the list without requests. */
export function createOpenRequests(): OpenRequests {
  const bySocket = new WeakMap<Duplex, Set<OpenRequest>>();
  const ending = new WeakSet<Duplex>();

  function listOf(socket: Duplex): readonly OpenRequest[] {
    return [...(bySocket.get(socket) ?? [])];
  }

  function remove(socket: Duplex, open: OpenRequest): void {
    const all = bySocket.get(socket);
    all?.delete(open);
    if (all?.size === 0 && ending.has(socket)) socket.end();
  }

  return {
    add(request, response) {
      const {socket} = request;
      const open = {request, response};
      bySocket.set(socket, (bySocket.get(socket) ?? new Set()).add(open));
      response.on('close', () => remove(socket, open));
    },
    countWhole: socket =>
      listOf(socket).filter(({request}) => request.complete).length,
    hasStarted: socket =>
      listOf(socket).some(
        ({request, response}) => response.headersSent || streamed.has(request),
      ),
    endAfterAnswers(socket) {
      ending.add(socket);
    },
  };
}
