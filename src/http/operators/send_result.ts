import {ServerResponse} from 'node:http';
import type {Result} from 'true-myth/result';
import {Outcome, RefusalReason} from '../../types';
import {sendJson, sendProblem} from '../shared';

/**
 * Sends a result as JSON or its refusal as a problem.
 *
 * @param response what to answer
 * @param status status of a result that isn't refused
 * @param result the value or the reason of its refusal
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
