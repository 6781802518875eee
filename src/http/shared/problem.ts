import {ServerResponse} from 'node:http';
import {FieldDifference, Finding, Outcome, RefusalReason} from '../../types';

/** Body of an error response, sent as application/problem+json. */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly reason: RefusalReason;
  /** Whether the request was run, as far as is known. */
  readonly outcome: Outcome;
  readonly detail?: string;
  readonly requestId?: string;
  readonly findings?: readonly Finding[];
  /** Delay after which a retry may succeed, in ms. */
  readonly retryAfterMs?: number;
  /** Active configuration revision, sent with a conflict. */
  readonly currentRevision?: number;
  /**
   * Differences between the submitted and the active profiles, sent with a
   * conflict.
   */
  readonly differences?: readonly FieldDifference[];
}

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.UnknownService]: 404,
  [RefusalReason.QueueFull]: 503,
  [RefusalReason.DeadlineUnreachable]: 503,
  [RefusalReason.DeadlinePassed]: 504,
  [RefusalReason.TeamQuota]: 429,
  [RefusalReason.NoWorker]: 503,
  [RefusalReason.NoConfiguration]: 503,
  [RefusalReason.ClaimUnavailable]: 503,
  [RefusalReason.AlreadyClaimed]: 409,
  [RefusalReason.RetriesExhausted]: 502,
  [RefusalReason.BadRequest]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.Stopping]: 503,
  [RefusalReason.StoreUnavailable]: 503,
  [RefusalReason.Unsatisfiable]: 422,
  [RefusalReason.BudgetSpent]: 409,
  [RefusalReason.Conflict]: 409,
  [RefusalReason.Unauthorized]: 401,
  [RefusalReason.NotFound]: 404,
  [RefusalReason.OutcomeUnknown]: 502,
};

/** Returns the HTTP status code for a reason of refusal. */
export function getStatus(reason: RefusalReason): number {
  return STATUS_BY_REASON[reason];
}

/** Sends a problem, with its outcome and reason also as headers. */
export function sendProblem(
  response: ServerResponse,
  problem: Omit<Problem, 'status' | 'title'>,
): void {
  const status = getStatus(problem.reason);
  const body = Buffer.from(
    JSON.stringify({status, title: problem.reason, ...problem}),
  );
  response.setHeader('sesamefront-outcome', problem.outcome);
  response.setHeader('sesamefront-reason', problem.reason);
  if (problem.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.ceil(problem.retryAfterMs / 1000));
  }
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': body.length,
  });
  response.end(body);
}
