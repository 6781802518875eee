import {createHash, timingSafeEqual} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import type {TLSSocket} from 'node:tls';
import {Outcome, RefusalReason} from '../../types';
import {RequestHandler, sendProblem} from '../shared';
import {Route} from './route';

/**
 * Creates the request handler of the operators' port.
 *
 * @param routes routes to serve
 * @param token bearer token that requests must carry; undefined disables
 *   authorization
 */
export function createOperatorHandler(
  routes: readonly Route[],
  token: string | undefined,
): RequestHandler {
  return (request, response) => dispatchRoute(routes, token, request, response);
}

async function dispatchRoute(
  routes: readonly Route[],
  token: string | undefined,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const path = (request.url ?? '/').split('?')[0];
  for (const route of routes) {
    if (route.method !== request.method) continue;
    const id = matchPath(route.path, path);
    if (id === undefined) continue;
    if (!route.isPublic && !isAuthorized(request, token)) {
      return refuse(response, RefusalReason.Unauthorized, 'token needed');
    }
    return route.handle(request, response, id);
  }
  refuse(response, RefusalReason.NotFound, `no route ${path}`);
}

function matchPath(pattern: string, path: string): string | undefined {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  if (patternSegments.length !== pathSegments.length) return undefined;
  let id = '';
  for (let i = 0; i < patternSegments.length; i += 1) {
    if (patternSegments[i] === ':id') id = decodeURIComponent(pathSegments[i]);
    else if (patternSegments[i] !== pathSegments[i]) return undefined;
  }
  return id;
}

/**
 * Returns whether a request carries the token or comes over a connection with a
 * client certificate of a trusted authority.
 */
function isAuthorized(
  request: IncomingMessage,
  token: string | undefined,
): boolean {
  if ((request.socket as Partial<TLSSocket>).authorized) return true;
  if (token === undefined) return true;
  const expectedDigest = computeDigest(`Bearer ${token}`);
  return timingSafeEqual(
    expectedDigest,
    computeDigest(request.headers.authorization ?? ''),
  );
}

function computeDigest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function refuse(
  response: ServerResponse,
  reason: RefusalReason,
  detail: string,
): void {
  sendProblem(response, {reason, outcome: Outcome.NotRun, detail});
}
