import {Site} from '../../stand_ins/site';
import {delay} from '../../state';
import {EntryHost} from '../../wiring';
import {DemoSummary} from './demo_summary';
import {callJson} from './http_call';

/** Options of the load that the demo sends. */
export interface TrafficOptions {
  readonly site: Site;
  readonly entries: readonly EntryHost[];
  readonly seconds: number;
  /** Summary in which answers and refusals are counted. */
  readonly summary: DemoSummary;
}

/**
 * Concurrent callers of one pool during its burst; exceeds the slots of the
 * pool.
 */
const BURST_CALLERS = 90;
/** Concurrent callers that spread their requests over all pools. */
const STEADY_CALLERS = 8;
const BURST_MS = 1_000;
const STEADY_DELAY_MS = 20;
/** Delay of a caller after a refusal. */
const REFUSAL_DELAY_MS = 100;
/** Time that a worker takes to serve one request. */
const REQUEST_DURATION_MS = 50;
/** One in this number of requests is sent as non-idempotent. */
const NON_IDEMPOTENT_INTERVAL = 10;

/**
 * Sends a steady load to all pools and, to one pool after the other, bursts
 * that exceed its slots.
 */
export async function sendTraffic(options: TrafficOptions): Promise<void> {
  const startedAt = performance.now();
  const endsAt = startedAt + options.seconds * 1_000;
  const bursts = Array.from({length: BURST_CALLERS}, (_, i) =>
    sendBursts(options, i, startedAt, endsAt),
  );
  const steady = Array.from({length: STEADY_CALLERS}, (_, i) =>
    sendSteadily(options, i, endsAt),
  );
  await Promise.all([...bursts, ...steady]);
}

async function sendBursts(
  options: TrafficOptions,
  caller: number,
  startedAt: number,
  endsAt: number,
): Promise<void> {
  const {pools} = options.site;
  for (let n = caller; performance.now() < endsAt; n += 1) {
    const turn = Math.floor((performance.now() - startedAt) / BURST_MS);
    const service = pools[turn % pools.length].name;
    await sendRequest(options, service, `burst-${caller}-${n}`, n);
  }
}

async function sendSteadily(
  options: TrafficOptions,
  caller: number,
  endsAt: number,
): Promise<void> {
  const {pools} = options.site;
  for (let n = caller; performance.now() < endsAt; n += 1) {
    const service = pools[n % pools.length].name;
    await sendRequest(options, service, `steady-${caller}-${n}`, n);
    await delay(STEADY_DELAY_MS);
  }
}

async function sendRequest(
  {entries, summary}: TrafficOptions,
  service: string,
  key: string,
  n: number,
): Promise<void> {
  const {member} = entries[n % entries.length];
  const url = `http://${member.address}:${member.callerPort}/services/${service}/demo`;
  const nonIdempotent = n % NON_IDEMPOTENT_INTERVAL === 0;
  const answer = await callJson(
    'POST',
    url,
    {n},
    {
      'work-ms': String(REQUEST_DURATION_MS),
      ...(nonIdempotent
        ? {'sesamefront-idempotent': 'false', 'idempotency-key': key}
        : {}),
    },
  );
  if (answer.status === 200) {
    summary.answered += 1;
    return;
  }
  countRefusal(summary, answer.body);
  await delay(REFUSAL_DELAY_MS);
}

function countRefusal(summary: DemoSummary, body: unknown): void {
  const {reason = 'unknown'} = body as {reason?: string};
  const previous = summary.refusedByReason[reason] ?? 0;
  summary.refusedByReason[reason] = previous + 1;
}
