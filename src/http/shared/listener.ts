import {
  IncomingMessage,
  Server,
  ServerOptions,
  ServerResponse,
  createServer,
} from 'node:http';
import type {Server as TlsServer} from 'node:https';
import {AddressInfo, Socket} from 'node:net';
import {TlsIdentity} from '../../security';
import {Outcome, RefusalReason} from '../../types';
import {answerClientError, refuseTunnel} from './client_error';
import {createOpenRequests} from './open_requests';
import {sendProblem} from './problem';
import {RequestError} from './request_error';
import {createReloadingServer} from './tls_server';

/** An HTTP server that listens on a port. */
export interface Listener {
  /** TCP port on which the server listens. */
  readonly port: number;
  /** Sets the request handler; until then all requests are refused. */
  serve(handler: RequestHandler): void;
  /**
   * Closes each connection after its next response, without aborting requests.
   */
  startClosing(): void;
  /**
   * Stops accepting connections, closes idle ones and resolves once the open
   * requests are answered, or after a timeout that aborts them.
   */
  dispose(): Promise<void>;
}

/** Handles a request; a rejection is sent as a problem. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Limits of a listener, each with a default. */
export interface ListenerLimits {
  /** Time within which the headers must be received, in ms. */
  readonly headersTimeoutMs?: number;
  /** Time within which the whole request must be received, in ms. */
  readonly requestTimeoutMs?: number;
  readonly maxConnections?: number;
  /** Interval between checks for timed-out requests, in ms. */
  readonly checkIntervalMs?: number;
}

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 5_000;
const MAX_HEADER_BYTES = 16_384;
const MAX_HEADERS = 100;
const MAX_CONNECTIONS = 4_096;
/** Maximum wait for open requests when the listener is disposed, in ms. */
const CLOSE_TIMEOUT_MS = 60_000;
/**
 * Maximum number of bytes read from a request body after its response was sent.
 * Closing at once could reset the connection before the sender reads the
 * response.
 */
const MAX_LINGER_BYTES = 4_194_304;
/** Maximum time spent reading such a body, in ms. */
const LINGER_TIMEOUT_MS = 2_000;

/**
 * Starts an HTTP server.
 *
 * @param address IP address to listen on
 * @param port TCP port; 0 selects a free one
 * @param limits limits that override the defaults
 * @param identity TLS identity; without one the server speaks plain HTTP
 */
export async function createListener(
  address: string,
  port: number,
  limits: ListenerLimits = {},
  identity?: TlsIdentity,
): Promise<Listener> {
  let handler: RequestHandler = refuseBeforeReady;
  let closing = false;
  const openRequests = createOpenRequests();
  const options: ServerOptions = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: limits.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
    requestTimeout: limits.requestTimeoutMs ?? REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: limits.checkIntervalMs ?? CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    requireHostHeader: true,
  };
  const server = identity
    ? createReloadingServer(identity, options)
    : createServer(options);
  server.on('request', (request, response) => {
    openRequests.add(request, response);
    if (closing) response.setHeader('connection', 'close');
    response.on('finish', () => lingerBeforeClose(request));
    handler(request, response).catch((error: Error) =>
      sendError(response, error),
    );
  });
  server.maxConnections = limits.maxConnections ?? MAX_CONNECTIONS;
  server.maxHeadersCount = MAX_HEADERS;
  server.on('clientError', (error, socket) =>
    answerClientError(error, socket, openRequests),
  );
  server.on('connect', (_, socket) => refuseTunnel(socket as Socket));
  await listen(server, address, port);

  return {
    port: (server.address() as AddressInfo).port,
    serve(newHandler) {
      handler = newHandler;
    },
    startClosing() {
      closing = true;
    },
    dispose: () =>
      new Promise(resolve => {
        const timer = setTimeout(
          () => server.closeAllConnections(),
          CLOSE_TIMEOUT_MS,
        );
        server.close(() => {
          clearTimeout(timer);
          resolve();
        });
        server.closeIdleConnections();
      }),
  };
}

function listen(
  server: Server | TlsServer,
  address: string,
  port: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
}

async function refuseBeforeReady(
  _: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  sendProblem(response, {
    reason: RefusalReason.NoConfiguration,
    outcome: Outcome.NotRun,
    detail: 'this entry host is starting',
  });
}

/**
 * Reads and discards a limited remainder of the body of an answered request,
 * then closes its connection if the body doesn't end within the limits.
 */
function lingerBeforeClose(request: IncomingMessage): void {
  if (request.complete || request.destroyed) return;
  let remainingBytes = MAX_LINGER_BYTES;
  const timer = setTimeout(() => request.socket.destroy(), LINGER_TIMEOUT_MS);
  request.on('close', () => clearTimeout(timer));
  request.on('data', (chunk: Buffer) => {
    remainingBytes -= chunk.length;
    if (remainingBytes < 0) request.socket.destroy();
  });
  request.resume();
}

function sendError(response: ServerResponse, error: Error): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  if (error instanceof RequestError) {
    const {reason, message} = error;
    return sendProblem(response, {
      reason,
      outcome: Outcome.NotRun,
      detail: message,
    });
  }
  if (error instanceof URIError) {
    return sendProblem(response, {
      reason: RefusalReason.BadRequest,
      outcome: Outcome.NotRun,
      detail: 'the path is not well encoded',
    });
  }
  sendProblem(response, {
    reason: RefusalReason.OutcomeUnknown,
    outcome: Outcome.Unknown,
    detail: `internal error: ${error.message}`,
  });
}
