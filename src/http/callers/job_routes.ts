import {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import type {ZodError} from 'zod';
import {JobApi, JobRefusal} from '../../actors/jobs';
import {parseDuration} from '../../profiles';
import {Job, Outcome, RefusalReason} from '../../types';
import {readJson, sendJson, sendProblem} from '../shared';
import {createJobFilter} from './job_filter';
import {cancelSchema, dueAtOf, jobSchema} from './job_schema';

const MAX_BODY_BYTES = 131_072;

/**
 * Answers the callers' calls about long jobs.
 *
 * POST and GET /jobs/SERVICE, POST /jobs/SERVICE/cancel, GET and DELETE
 * /jobs/SERVICE/ID; a list takes "?overdue=true" and "?state=STATE".
 */
export async function answerJobCall(
  jobs: JobApi,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const [path, query] = (request.url ?? '/').split('?');
  const [, , service, id] = path.split('/');
  if (request.method === 'POST' && !id) {
    return submit(jobs, service, request, response);
  }
  if (request.method === 'GET' && !id) {
    const filter = createJobFilter(new URLSearchParams(query));
    const listed = await jobs.list(service);
    return sendResult(response, listed.map(filter), 200);
  }
  if (request.method === 'POST' && id === 'cancel') {
    return cancelMany(jobs, service, request, response);
  }
  if (request.method === 'GET') {
    return sendResult(response, await jobs.get(service, id), 200);
  }
  if (request.method === 'DELETE' && id) {
    return sendResult(response, await jobs.cancel(service, id), 200);
  }
  sendProblem(response, {
    reason: RefusalReason.NotFound,
    outcome: Outcome.NotRun,
    detail: `no route ${request.method} ${request.url}`,
  });
}

async function submit(
  jobs: JobApi,
  service: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readJson<unknown>(request, MAX_BODY_BYTES);
  const checked = jobSchema.safeParse(body);
  if (!checked.success) return refuseBody(response, checked.error);
  const {dueIn, runTime, ...rest} = checked.data;
  const result = await jobs.submit({
    ...rest,
    service,
    dueAt: dueAtOf(dueIn),
    runTimeMs: parseDuration(runTime) ?? 0,
  });
  sendResult(response, result, 202);
}

async function cancelMany(
  jobs: JobApi,
  service: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readJson<unknown>(request, MAX_BODY_BYTES);
  const checked = cancelSchema.safeParse(body);
  if (!checked.success) return refuseBody(response, checked.error);
  const answers = await jobs.cancelMany(service, checked.data.ids);
  sendJson(response, 200, {
    jobs: answers.flatMap(answer => (answer.isOk ? [answer.value] : [])),
    refused: answers.flatMap(answer => (answer.isErr ? [answer.error] : [])),
  });
}

function refuseBody(response: ServerResponse, error: ZodError): void {
  sendProblem(response, {
    reason: RefusalReason.BadRequest,
    outcome: Outcome.NotRun,
    findings: error.issues.map(issue => ({
      place: issue.path.map(String).join('.') || 'body',
      message: issue.message,
    })),
  });
}

function sendResult(
  response: ServerResponse,
  result: Result<Job | readonly Job[], JobRefusal>,
  status: number,
): void {
  if (result.isOk) return sendJson(response, status, result.value);
  const {reason, findings} = result.error;
  const unknown = reason === RefusalReason.OutcomeUnknown;
  sendProblem(response, {
    reason,
    findings,
    outcome: unknown ? Outcome.Unknown : Outcome.NotRun,
  });
}
