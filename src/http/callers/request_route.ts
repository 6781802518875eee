import {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import {Answer, Refusal} from '../../actors/requests';
import {Outcome} from '../../types';
import {sendProblem} from '../shared';
import {CallerHandlerOptions} from './caller_handler_options';
import {createLengthCheck} from './length_check';
import {readRequest} from './read_request';
import {filterForwardedHeaders} from './request_headers';

/**
 * Handles /services/SERVICE/PATH with any method by running the request on a
 * worker of the service's pool.
 */
export async function handleServiceRequest(
  {requests, telemetry}: CallerHandlerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const startedAt = performance.now();
  const interactive = await readRequest(request, response);
  const {id, service} = interactive;
  response.setHeader('sesamefront-request-id', id);
  const result = await requests.run(interactive);
  if (result.isErr) {
    recordAnswer(result.error.outcome);
    return sendRefusal(response, id, result.error);
  }
  sendAnswer(request, response, result.value, () => recordAnswer(Outcome.Run));

  function recordAnswer(outcome: Outcome): void {
    const seconds = (performance.now() - startedAt) / 1000;
    telemetry.observeAnswer(service, outcome, seconds);
  }
}

function sendRefusal(
  response: ServerResponse,
  requestId: string,
  {reason, outcome, detail, retryAfterMs}: Refusal,
): void {
  const problem = {reason, outcome, detail, retryAfterMs, requestId};
  sendProblem(response, problem);
}

function sendAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  answer: Answer,
  onSent: () => void,
): void {
  const {status, headers, body} = answer;
  const length = headers['content-length'];
  response.writeHead(status, {
    ...filterForwardedHeaders(headers),
    ...(length === undefined ? {} : {'content-length': length}),
    ...(answer.replayed ? {'sesamefront-replayed': 'true'} : {}),
    'sesamefront-outcome': Outcome.Run,
  });
  const bodiless = request.method === 'HEAD' || status === 304;
  const expected = bodiless ? undefined : length;
  pipeline(body, createLengthCheck(expected), response, error => {
    if (error) response.destroy();
    else onSent();
  });
}
