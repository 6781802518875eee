import {Agent, request} from 'undici';
import {
  RequestAnswer,
  RequestAttempt,
  RequestHistory,
  RequestRun,
} from '../../src/history/requests';
import {delay} from '../../src/state';
import {Outcome} from '../../src/types';
import {ProcessSite} from '../shared';

/** Sends keyed requests to a site of processes, repeats them and records all. */
export interface KeyedCaller {
  /** Sends one request until it is known to have run, or the tries are used up. */
  send(index: number): Promise<void>;
  /** Times to the answer of first tries that ran, in ms. */
  readonly firstTryMs: readonly number[];
  /** Requests whose run the caller knows of. */
  getConfirmed(): number;
  getHistory(): Promise<RequestHistory>;
  dispose(): Promise<void>;
}

const MAX_TRIES = 6;
const RETRY_MS = 300;
const TIMEOUT_MS = 6_000;
const DEADLINE_MS = 4_000;

/**
 * Creates the caller.
 *
 * @param site entry hosts to call
 * @param random chooses the entry host of each try
 */
export function createKeyedCaller(
  site: ProcessSite,
  random: () => number,
): KeyedCaller {
  const agent = new Agent({connections: 32});
  const attempts: RequestAttempt[] = [];
  const answers: RequestAnswer[] = [];
  const firstTryMs: number[] = [];
  let confirmed = 0;
  let lost = 0;

  async function tryOnce(index: number): Promise<Outcome> {
    const content = `booking-${index}`;
    const pool = site.site.pools[index % site.site.pools.length];
    const entry = site.entries[Math.floor(random() * site.entries.length)];
    const attempt = {idempotencyKey: content, idempotent: false, content};
    let requestId: string | undefined;
    try {
      const response = await request(
        `${entry.callerUrl}/services/${pool.name}/confirm`,
        {
          method: 'POST',
          dispatcher: agent,
          body: content,
          headers: {
            'idempotency-key': content,
            'sesamefront-idempotent': 'false',
            'sesamefront-deadline-ms': String(DEADLINE_MS),
          },
          signal: AbortSignal.timeout(TIMEOUT_MS),
        },
      );
      requestId = String(response.headers['sesamefront-request-id']);
      attempts.push({...attempt, requestId});
      const outcome = response.headers['sesamefront-outcome'] as Outcome;
      const text = await response.body.text();
      const complete = response.statusCode === 200;
      const given = {requestId, outcome, complete};
      answers.push(complete ? {...given, content: contentOf(text)} : given);
      return outcome;
    } catch {
      lost += 1;
      if (!requestId) attempts.push({...attempt, requestId: `lost-${lost}`});
      return Outcome.Unknown;
    }
  }

  return {
    firstTryMs,
    async send(index) {
      for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
        const startedAt = performance.now();
        const outcome = await tryOnce(index);
        if (outcome === Outcome.Run) {
          confirmed += 1;
          if (tries === 1) firstTryMs.push(performance.now() - startedAt);
          return;
        }
        await delay(RETRY_MS * tries);
      }
    },
    getConfirmed: () => confirmed,
    getHistory: async () => ({attempts, answers, runs: await readRuns(site)}),
    dispose: () => agent.destroy(),
  };
}

function contentOf(text: string): string | undefined {
  try {
    return (JSON.parse(text) as {body: string}).body;
  } catch {
    return undefined;
  }
}

async function readRuns(site: ProcessSite): Promise<readonly RequestRun[]> {
  const all: RequestRun[] = [];
  for (const host of site.hosts) {
    const {runs} = await site.readRuns(host);
    for (const {id, idempotencyKey, hostId} of runs) {
      all.push({requestId: id, idempotencyKey, hostId});
    }
  }
  return all;
}
