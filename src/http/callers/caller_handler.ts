import {IncomingMessage, ServerResponse} from 'node:http';
import {Outcome, RefusalReason} from '../../types';
import {RequestHandler, sendJson, sendProblem} from '../shared';
import {CallerHandlerOptions} from './caller_handler_options';
import {handleJobRequest} from './job_routes';
import {handleServiceRequest} from './request_route';

/**
 * Creates the request handler of the callers' port.
 *
 * It serves interactive requests under /services/, long jobs under /jobs/, and
 * the health checks /healthz and /readyz.
 *
 * @param options dependencies of the routes
 */
export function createCallerHandler(
  options: CallerHandlerOptions,
): RequestHandler {
  return (request, response) => dispatch(options, request, response);
}

async function dispatch(
  options: CallerHandlerOptions,
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
    return handleServiceRequest(options, request, response);
  }
  if (url.startsWith('/jobs/')) {
    return handleJobRequest(options.jobs, request, response);
  }
  sendProblem(response, {
    reason: RefusalReason.NotFound,
    outcome: Outcome.NotRun,
    detail: `no route ${url}`,
  });
}
