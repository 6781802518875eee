import {IncomingMessage, ServerResponse} from 'node:http';
import {Duplex} from 'node:stream';

/** Requests that are not answered yet, by connection. */
export interface OpenRequests {
  add(request: IncomingMessage, response: ServerResponse): void;
  /** Counts the open requests of a connection that came in whole. */
  countComplete(socket: Duplex): number;
  /** Tells whether an open request's answer, or its run, has begun. */
  hasStarted(socket: Duplex): boolean;
  /** Ends a connection once its open requests are answered. */
  closeAfterAnswers(socket: Duplex): void;
}

interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const streamedRequests = new WeakSet<IncomingMessage>();

/** Notes that a request is sent on before its body has come in whole. */
export function markStreamed(request: IncomingMessage): void {
  streamedRequests.add(request);
}

/** Creates the list without requests. */
export function createOpenRequests(): OpenRequests {
  const bySocket = new WeakMap<Duplex, Set<OpenRequest>>();
  const closingSockets = new WeakSet<Duplex>();

  function getOpenRequests(socket: Duplex): readonly OpenRequest[] {
    return [...(bySocket.get(socket) ?? [])];
  }

  function remove(socket: Duplex, openRequest: OpenRequest): void {
    const openRequests = bySocket.get(socket);
    openRequests?.delete(openRequest);
    if (openRequests?.size === 0 && closingSockets.has(socket)) socket.end();
  }

  return {
    add(request, response) {
      const {socket} = request;
      const openRequest = {request, response};
      bySocket.set(
        socket,
        (bySocket.get(socket) ?? new Set()).add(openRequest),
      );
      response.on('close', () => remove(socket, openRequest));
    },
    countComplete: socket =>
      getOpenRequests(socket).filter(({request}) => request.complete).length,
    hasStarted: socket =>
      getOpenRequests(socket).some(
        ({request, response}) =>
          response.headersSent || streamedRequests.has(request),
      ),
    closeAfterAnswers(socket) {
      closingSockets.add(socket);
    },
  };
}
