import {IncomingMessage, ServerResponse, createServer} from 'node:http';
import {AddressInfo} from 'node:net';

/** A decoded HTTP request. */
export interface JsonCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  /** Decoded JSON body; an empty object if the request has none. */
  readonly body: Readonly<Record<string, unknown>>;
}

/** An HTTP response with an optional JSON body. */
export interface JsonAnswer {
  readonly status: number;
  readonly body?: object;
}

/** A running HTTP server on the loopback interface. */
export interface JsonServer {
  /** IP address and port, separated by a colon. */
  readonly address: string;
  /** Closes all connections; new ones are accepted. */
  disconnect(): void;
  dispose(): void;
}

const LOOPBACK = '127.0.0.1';

/**
 * Starts an HTTP server for JSON requests on a free port.
 *
 * @param answer handles one request
 */
export async function createJsonServer(
  answer: (call: JsonCall) => JsonAnswer | Promise<JsonAnswer>,
): Promise<JsonServer> {
  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString('utf8');
    const url = new URL(request.url ?? '/', `http://${LOOPBACK}`);
    const {status, body} = await answer({
      method: request.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: request.headers,
      body: text === '' ? {} : JSON.parse(text),
    });
    const payload = body === undefined ? '' : JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(payload),
    });
    response.end(payload);
  }

  const server = createServer((request, response) => {
    // A connection that breaks within a request ends that request only.
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `${LOOPBACK}:${port}`,
    disconnect: () => server.closeAllConnections(),
    dispose() {
      server.close();
      server.closeAllConnections();
    },
  };
}
