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

/**
 * Sends requests with idempotency keys to a process site, retries them and
 * records the history.
 */
export interface KeyedCaller {
  /**
   * Sends a request and retries it until its run is confirmed or the maximum
   * number of attempts is reached.
   */
  send(index: number): Promise<void>;
  /**
   * Response times in ms of the requests whose run was confirmed at the first
   * attempt.
   */
  readonly firstAttemptMs: readonly number[];
  /** Returns the number of requests whose run was confirmed. */
  countConfirmed(): number;
  /**
   * Returns the attempts and answers together with the runs that the workers
   * recorded.
   */
  getHistory(): Promise<RequestHistory>;
  dispose(): Promise<void>;
}

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 300;
const TIMEOUT_MS = 6_000;
const DEADLINE_MS = 4_000;

/**
 * Creates a keyed caller.
 *
 * @param site the site whose entry hosts are called
 * @param random source of random numbers from 0 to below 1, which selects the
 *     entry host of each attempt
 */
export function createKeyedCaller(
  site: ProcessSite,
  random: () => number,
): KeyedCaller {
  const agent = new Agent({connections: 32});
  const attempts: RequestAttempt[] = [];
  const answers: RequestAnswer[] = [];
  const firstAttemptMs: number[] = [];
  let confirmedCount = 0;
  let lost = 0;

  async function sendAttempt(index: number): Promise<Outcome> {
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
      const received = {requestId, outcome, complete};
      answers.push(
        complete ? {...received, content: contentOf(text)} : received,
      );
      return outcome;
    } catch {
      lost += 1;
      if (!requestId) attempts.push({...attempt, requestId: `lost-${lost}`});
      return Outcome.Unknown;
    }
  }

  return {
    firstAttemptMs,
    async send(index) {
      for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
        const startedAt = performance.now();
        const outcome = await sendAttempt(index);
        if (outcome === Outcome.Run) {
          confirmedCount += 1;
          if (attempt === 1) firstAttemptMs.push(performance.now() - startedAt);
          return;
        }
        await delay(RETRY_DELAY_MS * attempt);
      }
    },
    countConfirmed: () => confirmedCount,
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
