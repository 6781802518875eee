import {IncomingMessage, ServerResponse} from 'node:http';
import {Duplex} from 'node:stream';

/** Unanswered requests of a listener, grouped by connection. */
export interface OpenRequests {
  /** Adds a request, which is removed when its response closes. */
  add(request: IncomingMessage, response: ServerResponse): void;
  /**
   * Returns the number of completely received open requests of a connection.
   */
  countComplete(socket: Duplex): number;
  /**
   * Returns whether any open request of a connection has sent its response
   * headers or has been forwarded.
   */
  hasStarted(socket: Duplex): boolean;
  /** Closes a connection once its open requests are answered. */
  closeAfterAnswers(socket: Duplex): void;
}

interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const streamedRequests = new WeakSet<IncomingMessage>();

/**
 * Marks a request as forwarded before its body has been received completely.
 */
export function markStreamed(request: IncomingMessage): void {
  streamedRequests.add(request);
}

/** Creates an empty collection of open requests. */
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
