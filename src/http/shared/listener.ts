import {
  IncomingMessage,
  Server,
  ServerOptions,
  ServerResponse,
  createServer,
} from 'node:http';
import {Server as TlsServer, createServer as createTlsServer} from 'node:https';
import {AddressInfo} from 'node:net';
import {TlsIdentity, TlsMaterial} from '../../security';
import {Outcome, RefusalReason} from '../../types';
import {BodyError} from './body';
import {sendProblem} from './problem';

/** A listening HTTP server. */
export interface Listener {
  readonly port: number;
  /** Sets what answers the requests; until then they are refused. */
  serve(handle: Handle): void;
  /** Stops accepting, lets open requests finish and closes idle connections. */
  dispose(): Promise<void>;
}

/** Answers one request; a rejection becomes a problem. */
export type Handle = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_MS = 5_000;
const MAX_HEADER_BYTES = 16_384;
const MAX_CONNECTIONS = 4_096;

/**
 * Starts an HTTP server.
 *
 * @param address IP address to listen on
 * @param port TCP port; 0 picks a free one
 * @param identity TLS material; plain HTTP without one
 */
export async function createListener(
  address: string,
  port: number,
  identity?: TlsIdentity,
): Promise<Listener> {
  let handle: Handle = refuseEarly;
  const limits = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    requireHostHeader: true,
  };
  const server = identity
    ? createReloadingServer(identity, limits)
    : createServer(limits);
  server.on('request', (request, response) => {
    handle(request, response).catch((error: Error) =>
      sendError(response, error),
    );
  });
  server.maxConnections = MAX_CONNECTIONS;
  await listen(server, address, port);

  return {
    port: (server.address() as AddressInfo).port,
    serve(serving) {
      handle = serving;
    },
    dispose: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}

function createReloadingServer(
  {material}: TlsIdentity,
  limits: ServerOptions,
): TlsServer {
  const options = {...limits, ...toTlsOptions(material.get())};
  const server = createTlsServer({...options, requestCert: true});
  const stopFollowing = material.onChange(value =>
    server.setSecureContext(toTlsOptions(value)),
  );
  server.on('close', stopFollowing);
  return server;
}

/** Client certificates are asked for, not demanded: routes decide what needs one. */
function toTlsOptions({certificate, key, authorities}: TlsMaterial) {
  return {
    cert: certificate,
    key,
    ca: authorities,
    rejectUnauthorized: false,
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

async function refuseEarly(
  _: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  sendProblem(response, {
    reason: RefusalReason.NoConfiguration,
    outcome: Outcome.NotRun,
    detail: 'this entry host is starting',
  });
}

function sendError(response: ServerResponse, error: Error): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const tooLarge = error instanceof BodyError && error.tooLarge;
  sendProblem(response, {
    reason: tooLarge ? RefusalReason.BodyTooLarge : RefusalReason.BadRequest,
    outcome: Outcome.NotRun,
    detail: error.message,
  });
}
