import {URL} from 'node:url';
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Closes a call without an answer. */
export const RESET = Symbol('reset');

/**
 * Creates an HTTP server with JSON bodies.
 *
 * @param handle receives method, path, query, headers and body of a call;
 *     returns `{status, body}`, or `RESET`
 */
export function createJsonServer(handle) {
  const sockets = new Set();
  const server = createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(request.url, 'http://stand-in');
    const text = Buffer.concat(chunks).toString('utf8');
    const answer = await handle({
      method: request.method,
      path: url.pathname,
      query: url.searchParams,
      headers: request.headers,
      body: text === '' ? {} : JSON.parse(text),
    });
    if (answer === RESET) return void request.socket.resetAndDestroy();
    const body = answer.body === undefined ? '' : JSON.stringify(answer.body);
    response.writeHead(answer.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  });
  server.keepAliveTimeout = 0;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
  });

  return {
    listen: (host, port = 0) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, () => resolve(server.address().port));
      }),
    /** Resets all connections; the server goes on listening. */
    resetAll() {
      for (const socket of sockets) socket.resetAndDestroy();
    },
    close: () =>
      new Promise(resolve => {
        server.close(resolve);
        for (const socket of sockets) socket.resetAndDestroy();
      }),
  };
}
