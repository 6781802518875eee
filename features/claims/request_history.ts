import type {InteractiveRequest} from '../../src/actors/requests';
import {
  RequestAnswer,
  RequestAttempt,
  RequestHistory,
  RequestRun,
} from '../../src/history/requests';
import {Outcome} from '../../src/types';
import {MemorySite} from '../support/memory_site';

/**
 * Sends requests to an in-memory site and records attempts, runs and answers.
 */
export interface HistoryRecorder {
  /** Sends one attempt and resolves with its answer. */
  send(options: AttemptOptions): Promise<RequestAnswer>;
  /** Returns the recorded attempts and answers and the runs of the workers. */
  getHistory(): RequestHistory;
}

/** Options of one attempt of a request. */
export interface AttemptOptions {
  /** Index of the entry host to send the attempt to. */
  readonly entry: number;
  readonly idempotencyKey?: string;
  readonly content: string;
  readonly idempotent?: boolean;
  readonly deadlineMs?: number;
  readonly workMs?: number;
}

/**
 * Creates a recorder that sends requests for the service planner-api to a site.
 */
export function createHistoryRecorder(site: MemorySite): HistoryRecorder {
  const attempts: RequestAttempt[] = [];
  const answers: RequestAnswer[] = [];

  async function send(options: AttemptOptions): Promise<RequestAnswer> {
    const {entry, idempotencyKey, content, idempotent = false} = options;
    const requestId = `request-${attempts.length + 1}`;
    attempts.push({requestId, idempotencyKey, idempotent, content});
    const key = idempotencyKey ? {'idempotency-key': idempotencyKey} : {};
    const result = await run(entry, {
      id: requestId,
      service: 'planner-api',
      team: '',
      method: 'POST',
      path: `/${content}`,
      headers: {'work-ms': String(options.workMs ?? 5), ...key},
      body: Buffer.from(content),
      idempotent,
      idempotencyKey,
      deadlineMs: options.deadlineMs,
    });
    if (!result) return {requestId, outcome: Outcome.Unknown, complete: false};
    const answer: RequestAnswer = result.isErr
      ? {requestId, outcome: result.error.outcome, complete: false}
      : {requestId, ...(await readAnswer(result.value.body))};
    answers.push(answer);
    return answer;
  }

  /** Runs a request; resolves with undefined if the entry host has crashed. */
  async function run(entry: number, request: InteractiveRequest) {
    try {
      return await site.entries[entry].core.requests.run(request);
    } catch {
      return undefined;
    }
  }

  async function readAnswer(body: AsyncIterable<unknown>) {
    const outcome = Outcome.Run;
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of body) chunks.push(chunk as Buffer);
    } catch {
      return {outcome, complete: false};
    }
    const text = Buffer.concat(chunks).toString();
    return {outcome, complete: true, content: findContent(text)};
  }

  function findContent(text: string): string | undefined {
    const {requestId} = JSON.parse(text) as {requestId: string};
    return attempts.find(a => a.requestId === requestId)?.content;
  }

  return {
    send,
    getHistory: () => ({attempts, answers, runs: readRuns(site)}),
  };
}

function readRuns(site: MemorySite): readonly RequestRun[] {
  return [...site.workers.values()].flatMap(worker =>
    worker.runs.map(({id, idempotencyKey, hostId}) => ({
      requestId: id,
      idempotencyKey,
      hostId,
    })),
  );
}
