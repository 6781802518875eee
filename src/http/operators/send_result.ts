import {ServerResponse} from 'node:http';
import type {Result} from 'true-myth/result';
import {Outcome, RefusalReason} from '../../types';
import {sendJson, sendProblem} from '../shared';

/**
 * Sends the value of a result as JSON, or the reason of a refusal as a problem.
 *
 * @param response response to send on
 * @param status HTTP status of a successful result
 * @param result the value, or the reason why the call was refused
 */
export function sendResult<T>(
  response: ServerResponse,
  status: number,
  result: Result<T, RefusalReason>,
): void {
  if (result.isOk) return sendJson(response, status, result.value);
  const unknown = result.error === RefusalReason.OutcomeUnknown;
  const outcome = unknown ? Outcome.Unknown : Outcome.NotRun;
  sendProblem(response, {reason: result.error, outcome});
}
