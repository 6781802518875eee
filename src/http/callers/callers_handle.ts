import {IncomingMessage, ServerResponse} from 'node:http';
import {Outcome, RefusalReason} from '../../types';
import {Handle, sendJson, sendProblem} from '../shared';
import {CallersOptions} from './callers_options';
import {answerJobCall} from './job_routes';
import {answerRequest} from './request_route';

/**
 * Creates what answers the callers' port: /services for interactive requests, /jobs for long work.
 *
 * @param options what the routes call
 */
export function createCallersHandle(options: CallersOptions): Handle {
  return (request, response) => route(options, request, response);
}

async function route(
  options: CallersOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = request.url ?? '/';
  if (url === '/healthz') return sendJson(response, 200, {alive: true});
  if (url === '/readyz') {
    const ready = options.isReady();
    return sendJson(response, ready ? 200 : 503, {ready});
  }
  if (url.startsWith('/services/')) {
    return answerRequest(options, request, response);
  }
  if (url.startsWith('/jobs/')) {
    return answerJobCall(options.jobs, request, response);
  }
  sendProblem(response, {
    reason: RefusalReason.NotFound,
    outcome: Outcome.NotRun,
    detail: `no route ${url}`,
  });
}
