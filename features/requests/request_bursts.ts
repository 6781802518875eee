import {Result} from 'true-myth';
import type {Answer, Refusal} from '../../src/actors/requests';
import {delay} from '../../src/state';
import {Outcome} from '../../src/types';
import {MemorySite} from '../support/memory_site';
import {advance, settle} from '../support/clock';

/** Result of one request of a burst; times are monotonic, in ms. */
export interface BurstAnswer {
  readonly id: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly result: Result<Answer, Refusal>;
}

/** A burst of requests for one service. */
export interface Burst {
  readonly service: string;
  readonly team?: string;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly workMs: number;
  readonly deadlineMs: number;
  readonly idempotent?: boolean;
  /** Maximum number of requests. */
  readonly limit?: number;
  /**
   * Returns the index of the entry host for the request with the given number.
   */
  readonly chooseEntry: (n: number) => number;
}

const STEP_MS = 5;

/**
 * Sends a burst while advancing the paused clock, then waits for all answers.
 */
export async function runBurst(
  site: MemorySite,
  burst: Burst,
  onStep: () => void = () => {},
): Promise<readonly BurstAnswer[]> {
  const [answers] = await runBursts(site, [burst], onStep);
  return answers;
}

/**
 * Sends bursts concurrently while advancing the paused clock; returns the
 * answers of each burst.
 */
export async function runBursts(
  site: MemorySite,
  bursts: readonly Burst[],
  onStep: () => void = () => {},
): Promise<readonly (readonly BurstAnswer[])[]> {
  const sent = bursts.map(() => [] as Promise<BurstAnswer | undefined>[]);
  const longestMs = Math.max(...bursts.map(burst => burst.durationMs));
  for (let passed = 0; passed < longestMs; passed += STEP_MS) {
    bursts.forEach((burst, i) => sendDueRequests(site, burst, passed, sent[i]));
    await advance(STEP_MS);
    onStep();
  }
  const pendingAnswers = sent.map(async known => {
    const answers = await Promise.all(known);
    return answers.filter(answer => answer !== undefined);
  });
  return settle(Promise.all(pendingAnswers));
}

function sendDueRequests(
  site: MemorySite,
  burst: Burst,
  passedMs: number,
  sent: Promise<BurstAnswer | undefined>[],
): void {
  if (passedMs >= burst.durationMs) return;
  const due = ((passedMs + STEP_MS) / 1_000) * burst.requestsPerSecond;
  while (sent.length < Math.min(due, burst.limit ?? Infinity)) {
    sent.push(send(site, burst, sent.length));
  }
}

/**
 * Sends one request; resolves with undefined if there is no answer within twice
 * the deadline, as when its entry host has crashed.
 */
async function send(
  site: MemorySite,
  burst: Burst,
  n: number,
): Promise<BurstAnswer | undefined> {
  const entry = site.entries[burst.chooseEntry(n)];
  const id = `${burst.service}-${burst.team ?? ''}-${n}-${Math.random()}`;
  const sentAt = performance.now();
  const run = entry.core.requests.run({
    id,
    service: burst.service,
    team: burst.team ?? '',
    method: 'GET',
    path: '/',
    headers: {'work-ms': String(burst.workMs)},
    body: Buffer.alloc(0),
    idempotent: burst.idempotent,
    deadlineMs: burst.deadlineMs,
  });
  const result = await Promise.race([run, delay(2 * burst.deadlineMs)]);
  if (!result) return undefined;
  const endedAt = performance.now();
  if (result.isOk) for await (const chunk of result.value.body) void chunk;
  return {id, sentAt, endedAt, result};
}

/**
 * Counts the requests that were answered with status 200 within a deadline and
 * by a given time.
 */
export function countAnswered(
  answers: readonly BurstAnswer[],
  deadlineMs: number,
  endedBy = Infinity,
): number {
  return answers.filter(
    ({result, sentAt, endedAt}) =>
      result.isOk &&
      result.value.status === 200 &&
      endedAt <= endedBy &&
      endedAt - sentAt <= deadlineMs,
  ).length;
}

/**
 * Returns the ids of the requests that were reported as not run although they
 * ran.
 */
export function findFalseNotRun(
  site: MemorySite,
  answers: readonly BurstAnswer[],
): readonly string[] {
  const ran = new Set<string>();
  for (const worker of site.workers.values()) {
    for (const run of worker.runs) ran.add(run.id);
  }
  return answers
    .filter(
      ({result}) => result.isErr && result.error.outcome === Outcome.NotRun,
    )
    .map(({id}) => id)
    .filter(id => ran.has(id));
}
