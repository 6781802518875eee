import {Agent, request} from 'undici';
import {Problem} from '../http/shared';
import {Outcome} from '../types';
import {ExitCode} from './exit_code';
import {writeFindings} from './write_findings';

/** HTTP client that a command uses to call an entry host. */
export interface OperatorClient {
  /**
   * Makes a call and returns the body; prints the problem and exits the process
   * if it fails.
   */
  call<T>(method: string, path: string, body?: unknown): Promise<T>;
  /** Makes a call and returns the status and the body. */
  tryCall(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<{status: number; body: unknown}>;
}

const TIMEOUT_MS = 30_000;

/**
 * Creates a client of one port of an entry host.
 *
 * @param url base URL of the port
 * @param token token for the operator API; undefined if none is required
 */
export function createOperatorClient(
  url: string,
  token: string | undefined,
): OperatorClient {
  const agent = new Agent({keepAliveTimeout: 1_000});

  async function tryCall(method: string, path: string, body?: unknown) {
    const response = await request(`${url}${path}`, {
      method: method as 'GET',
      dispatcher: agent,
      headers: token ? {authorization: `Bearer ${token}`} : {},
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return {status: response.statusCode, body: await response.body.json()};
  }

  return {
    tryCall,
    async call<T>(method: string, path: string, body?: unknown): Promise<T> {
      try {
        const answer = await tryCall(method, path, body);
        if (answer.status < 300) return answer.body as T;
        reportProblem(answer.body as Problem);
      } catch (error) {
        process.stderr.write(`${url}: ${(error as Error).message}\n`);
        process.exit(ExitCode.Failed);
      }
    },
  };
}

function reportProblem(problem: Problem): never {
  const revision =
    problem.currentRevision === undefined
      ? ''
      : `; revision ${problem.currentRevision} is active`;
  const detail = problem.detail ? `: ${problem.detail}` : '';
  process.stderr.write(`refused: ${problem.reason}${detail}${revision}\n`);
  writeFindings(problem.findings ?? []);
  for (const {place, before, after} of problem.differences ?? []) {
    process.stderr.write(
      `${place}: active value is ${before}, requested value is ${after}\n`,
    );
  }
  process.exit(getExitCode(problem));
}

function getExitCode(problem: Problem): ExitCode {
  if (problem.outcome === Outcome.Unknown) return ExitCode.OutcomeUnknown;
  const badInput = problem.status === 400 || problem.status === 422;
  return badInput ? ExitCode.BadInput : ExitCode.Failed;
}
