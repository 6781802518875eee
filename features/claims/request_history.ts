import type {InteractiveRequest} from '../../src/actors/requests';
import {
  RequestAnswer,
  RequestAttempt,
  RequestHistory,
  RequestRun,
} from '../../src/history/requests';
import {Outcome} from '../../src/types';
import {MemorySite} from '../support/memory_site';

/** Sends requests into a site in memory and records what happens. */
export interface HistoryRecorder {
  /** Sends one attempt and resolves when its caller has an answer. */
  send(options: AttemptOptions): Promise<RequestAnswer>;
  /** Returns everything recorded so far, with the workers' runs. */
  getHistory(): RequestHistory;
}

/** One attempt of a request. */
export interface AttemptOptions {
  /** Index of the entry host that it goes in at. */
  readonly entry: number;
  readonly idempotencyKey?: string;
  readonly content: string;
  readonly idempotent?: boolean;
  readonly deadlineMs?: number;
  readonly workMs?: number;
}

/** Creates a recorder for the service planner-api of a site. */
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
      : {requestId, ...(await read(result.value.body))};
    answers.push(answer);
    return answer;
  }

  /** Runs a request; a crashed entry host answers nothing. */
  async function run(entry: number, request: InteractiveRequest) {
    try {
      return await site.entries[entry].core.requests.run(request);
    } catch {
      return undefined;
    }
  }

  async function read(body: AsyncIterable<unknown>) {
    const outcome = Outcome.Run;
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of body) chunks.push(chunk as Buffer);
    } catch {
      return {outcome, complete: false};
    }
    const text = Buffer.concat(chunks).toString();
    return {outcome, complete: true, content: contentOf(text)};
  }

  function contentOf(text: string): string | undefined {
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
