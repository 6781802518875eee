// Small HTTP/1.1 helpers of the stand-ins.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {URL} from 'node:url';

const MAX_CALL_MS = 10_000;

/** Serves a function of the call; an answer of undefined keeps it silent. */
export function serve(ip, port, handle) {
  const server = http.createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://stand-in');
    const answer = await handle({
      method: request.method,
      path: url.pathname,
      query: url.searchParams,
      headers: request.headers,
      body: text === '' ? {} : JSON.parse(text),
      socket: request.socket,
    });
    if (answer === undefined || response.destroyed) return;
    response.writeHead(answer.status, {'content-type': 'application/json'});
    response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
  });
  server.keepAliveTimeout = 600_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: ip, port}, () => resolve(server));
  });
}

/** Ends a server and resets its channels. */
export function end(server) {
  server.close();
  server.closeAllConnections();
}

/** Makes one call on a new channel; a status of 0 means no answer. */
export function call(address, method, path, {body, headers, limitMs} = {}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const none = error => resolve({status: 0, error: String(error)});
    const request = http.request(
      {host, port, method, path, headers, agent: false},
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', none);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          let answer;
          try {
            answer = text === '' ? undefined : JSON.parse(text);
          } catch {
            answer = text;
          }
          resolve({
            status: response.statusCode,
            body: answer,
            retryAfter: response.headers['retry-after'],
          });
        });
      },
    );
    request.on('error', none);
    request.setTimeout(limitMs ?? MAX_CALL_MS, () =>
      request.destroy(new Error('no answer in time')),
    );
    if (body !== undefined) {
      request.setHeader('content-type', 'application/json');
      request.write(typeof body === 'string' ? body : JSON.stringify(body));
    }
    request.end();
  });
}
