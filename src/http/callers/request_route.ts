import {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import {Answer, Refusal} from '../../actors/requests';
import {Outcome} from '../../types';
import {sendProblem} from '../shared';
import {CallersOptions} from './callers_options';
import {createLengthCheck} from './length_check';
import {readRequest} from './read_request';
import {forwardHeaders} from './request_headers';

/** Answers ANY /services/SERVICE/PATH by a worker of the service's pool. */
export async function answerRequest(
  {requests, telemetry}: CallersOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const startedAt = performance.now();
  const interactive = await readRequest(request, response);
  const {id, service} = interactive;
  response.setHeader('sesamefront-request-id', id);
  const result = await requests.run(interactive);
  if (result.isErr) {
    record(result.error.outcome);
    return sendRefusal(response, id, result.error);
  }
  sendAnswer(request, response, result.value, () => record(Outcome.Run));

  function record(outcome: Outcome): void {
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
    ...forwardHeaders(headers),
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
