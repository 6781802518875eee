import {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {JobCalls} from '../../actors/jobs';
import {parseDuration} from '../../profiles';
import {Job, Outcome, RefusalReason} from '../../types';
import {readJson, sendJson, sendProblem} from '../shared';
import {dueAtOf, jobSchema} from './job_schema';

const MAX_BODY_BYTES = 131_072;

/** Answers POST and GET /jobs/SERVICE, GET and DELETE /jobs/SERVICE/ID. */
export async function answerJobCall(
  jobs: JobCalls,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const [, , service, id] = (request.url ?? '/').split('/');
  if (request.method === 'POST' && !id) {
    return submit(jobs, service, request, response);
  }
  if (request.method === 'GET' && !id) {
    return sendResult(response, await jobs.list(service), 200);
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
  jobs: JobCalls,
  service: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readJson<unknown>(request, MAX_BODY_BYTES);
  const checked = jobSchema.safeParse(body);
  if (!checked.success) {
    return sendProblem(response, {
      reason: RefusalReason.BadRequest,
      outcome: Outcome.NotRun,
      findings: checked.error.issues.map(issue => ({
        place: issue.path.map(String).join('.') || 'body',
        message: issue.message,
      })),
    });
  }
  const {dueIn, runTime, ...rest} = checked.data;
  const result = await jobs.submit({
    ...rest,
    service,
    dueAt: dueAtOf(dueIn),
    runTimeMs: parseDuration(runTime) ?? 0,
  });
  sendResult(response, result, 202);
}

function sendResult(
  response: ServerResponse,
  result: Result<Job | readonly Job[], RefusalReason>,
  status: number,
): void {
  if (result.isOk) return sendJson(response, status, result.value);
  const unknown = result.error === RefusalReason.OutcomeUnknown;
  sendProblem(response, {
    reason: result.error,
    outcome: unknown ? Outcome.Unknown : Outcome.NotRun,
  });
}
