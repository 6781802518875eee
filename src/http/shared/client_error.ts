import {STATUS_CODES} from 'node:http';
import {Duplex} from 'node:stream';
import {Outcome, RefusalReason} from '../../types';
import {OpenRequests} from './open_requests';

/** Answer to input that is no HTTP request. */
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
 * Answers input that the parser refused, and ends the connection.
 *
 * Requests of the connection that came in whole are answered first, and no
 * problem follows, as a caller would take it for the answer to its request.
 *
 * @param error what the parser found
 * @param socket the connection
 * @param openRequests requests of the connection that are not answered yet
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

/** Refuses a request for a tunnel, and ends the connection. */
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
