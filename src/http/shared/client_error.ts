import {STATUS_CODES} from 'node:http';
import {Duplex} from 'node:stream';
import {Outcome, RefusalReason} from '../../types';
import {OpenRequests} from './open_requests';

/** Response to input that can't be parsed as an HTTP request. */
interface ClientProblem {
  readonly status: number;
  readonly detail: string;
}

const MALFORMED_REQUEST: ClientProblem = {
  status: 400,
  detail: 'the request is not well formed',
};

const PROBLEMS_BY_CODE: Readonly<Record<string, ClientProblem>> = {
  HPE_HEADER_OVERFLOW: {status: 431, detail: 'the headers are too long'},
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: 408,
    detail: 'the request did not arrive in time',
  },
  HPE_UNEXPECTED_CONTENT_LENGTH: {
    status: 400,
    detail: 'the length of the body is ambiguous',
  },
  HPE_INVALID_TRANSFER_ENCODING: {
    status: 400,
    detail: 'the length of the body is ambiguous',
  },
};

const CONNECT_NOT_SUPPORTED: ClientProblem = {
  status: 405,
  detail: 'method CONNECT is not served',
};

/**
 * Sends a problem for input that the HTTP parser rejected, and closes the
 * connection.
 *
 * If completely received requests of the connection are still unanswered, they
 * are answered before the connection is closed and no problem is sent, because
 * the caller would take it for the response to one of them. If a request has
 * only partly arrived but its response or its forwarding has begun, the
 * connection is closed at once.
 *
 * @param error error of the parser
 * @param socket the connection
 * @param openRequests unanswered requests of the listener
 */
export function answerClientError(
  error: Error & {code?: string; reason?: string},
  socket: Duplex,
  openRequests: OpenRequests,
): void {
  if (openRequests.countComplete(socket) > 0)
    return openRequests.closeAfterAnswers(socket);
  if (openRequests.hasStarted(socket)) {
    socket.destroy();
    return;
  }
  const known = PROBLEMS_BY_CODE[error.code ?? ''] ?? MALFORMED_REQUEST;
  const detail = error.reason
    ? `${known.detail}: ${error.reason}`
    : known.detail;
  sendAndClose(socket, {...known, detail});
}

/** Rejects a CONNECT request and closes the connection. */
export function refuseTunnel(socket: Duplex): void {
  socket.on('error', () => socket.destroy());
  sendAndClose(socket, CONNECT_NOT_SUPPORTED);
}

function sendAndClose(socket: Duplex, {status, detail}: ClientProblem): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const body = JSON.stringify({
    status,
    title: RefusalReason.BadRequest,
    reason: RefusalReason.BadRequest,
    outcome: Outcome.NotRun,
    detail,
  });
  socket.end(
    [
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
      'connection: close',
      'content-type: application/problem+json',
      `content-length: ${Buffer.byteLength(body)}`,
      `sesamefront-outcome: ${Outcome.NotRun}`,
      `sesamefront-reason: ${RefusalReason.BadRequest}`,
      '',
      body,
    ].join('\r\n'),
  );
}
