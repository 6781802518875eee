import {IncomingMessage, createServer} from 'node:http';
import {AddressInfo} from 'node:net';

/** One call as a stand-in sees it. */
export interface JsonCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  /** Decoded body; no fields if there was none. */
  readonly body: Readonly<Record<string, unknown>>;
}

/** Answer of a stand-in. */
export interface JsonAnswer {
  readonly status: number;
  readonly body?: object;
}

/** A stand-in's server on the loopback interface. */
export interface JsonServer {
  /** Host and port. */
  readonly address: string;
  dispose(): void;
}

const LOOPBACK = '127.0.0.1';

/**
 * Starts a server that answers calls with JSON bodies.
 *
 * @param answer answers one call
 */
export async function createJsonServer(
  answer: (call: JsonCall) => JsonAnswer | Promise<JsonAnswer>,
): Promise<JsonServer> {
  const server = createServer(async (request, response) => {
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
    const sent = body === undefined ? '' : JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(sent),
    });
    response.end(sent);
  });
  await new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `${LOOPBACK}:${port}`,
    dispose() {
      server.close();
      server.closeAllConnections();
    },
  };
}
