import {Agent} from 'undici';
import prand from 'pure-rand';
import {Outcome} from '../../src/types';
import {delay} from '../../src/state';
import {Attempt} from './attempt';

/** A stream of requests to the service of one pool, at a constant rate. */
export interface Stream {
  readonly pool: string;
  readonly perSecond: number;
  /** URLs of the entry hosts; each caller uses one of them. */
  readonly callerUrls: readonly string[];
  readonly workMs: number;
  readonly deadlineMs: number;
  readonly startsAt: number;
  readonly endsAt: number;
  /** Number of callers of the service; default 16. */
  readonly callers?: number;
}

const CALLERS = 16;
const TICK_MS = 5;

/**
 * Sends requests in an open loop: their rate does not depend on the answers.
 * Resolves once all are answered.
 */
export async function runStream(
  stream: Stream,
  agent: Agent,
  random: () => number,
): Promise<readonly Attempt[]> {
  const {callerUrls, perSecond, callers: count = CALLERS} = stream;
  const callers = Array.from(
    {length: count},
    () => callerUrls[Math.floor(random() * callerUrls.length)],
  );
  const sent: Promise<Attempt>[] = [];
  await delay(stream.startsAt - performance.now());
  while (performance.now() < stream.endsAt) {
    const due = ((performance.now() - stream.startsAt) / 1_000) * perSecond;
    while (sent.length < due) {
      const caller = Math.floor(random() * callers.length);
      sent.push(sendRequest(stream, callers[caller], agent));
    }
    await delay(TICK_MS);
  }
  return Promise.all(sent);
}

/** Creates a seeded generator of random numbers from 0 to below 1. */
export function createRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  const range = 2 ** 31;
  return () =>
    prand.unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

let sequence = 0;

/**
 * Sends one request and reads the answer to its end; a failed connection is
 * recorded as status 0.
 */
export async function sendRequest(
  {pool, workMs, deadlineMs}: Stream,
  callerUrl: string,
  agent: Agent,
): Promise<Attempt> {
  sequence += 1;
  const mark = `r${sequence}`;
  const sentAt = performance.now();
  const attempt = {requestId: '', pool, sentAt, outcome: undefined};
  try {
    const response = await agent.request({
      origin: callerUrl,
      method: 'GET',
      path: `/services/${pool}/bench?mark=${mark}`,
      headers: {
        'work-ms': String(workMs),
        'sesamefront-deadline-ms': String(deadlineMs),
      },
    });
    const {headers, statusCode: status} = response;
    const text = await response.body.text();
    return {
      ...attempt,
      requestId: String(headers['sesamefront-request-id'] ?? ''),
      endedAt: performance.now(),
      status,
      outcome: headers['sesamefront-outcome'] as Outcome | undefined,
      reason: headers['sesamefront-reason'] as string | undefined,
      complete: status === 200 && isComplete(text, mark),
    };
  } catch {
    const endedAt = performance.now();
    return {...attempt, endedAt, status: 0, reason: undefined, complete: false};
  }
}

function isComplete(text: string, mark: string): boolean {
  try {
    const {path} = JSON.parse(text) as {path: string};
    return path.endsWith(`mark=${mark}`);
  } catch {
    return false;
  }
}
