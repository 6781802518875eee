import {Site} from '../../stand_ins/site';
import {delay} from '../../state';
import {EntryHost} from '../../wiring';
import {DemoSummary} from './demo_summary';
import {callJson} from './http_call';

/** Load of the demo. */
export interface TrafficOptions {
  readonly site: Site;
  readonly entries: readonly EntryHost[];
  readonly seconds: number;
  readonly summary: DemoSummary;
}

/** Callers that wait on one pool during its burst; more than its slots. */
const BURST_CALLERS = 90;
/** Callers that spread over all pools between bursts. */
const STEADY_CALLERS = 8;
const BURST_MS = 1_000;
const STEADY_PAUSE_MS = 20;
/** Pause of a caller after a refusal. */
const REFUSED_PAUSE_MS = 100;
/** Time that a worker takes for one request. */
const WORK_MS = 50;
const PLANNED_SHARE = 10;

/** Sends requests for some seconds: each pool in turn bursts above its slots. */
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
    await sendOne(options, service, `burst-${caller}-${n}`, n);
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
    await sendOne(options, service, `steady-${caller}-${n}`, n);
    await delay(STEADY_PAUSE_MS);
  }
}

async function sendOne(
  {entries, summary}: TrafficOptions,
  service: string,
  key: string,
  n: number,
): Promise<void> {
  const {member} = entries[n % entries.length];
  const url = `http://${member.address}:${member.callerPort}/services/${service}/demo`;
  const nonIdempotent = n % PLANNED_SHARE === 0;
  const answer = await callJson(
    'POST',
    url,
    {n},
    {
      'work-ms': String(WORK_MS),
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
  await delay(REFUSED_PAUSE_MS);
}

function countRefusal(summary: DemoSummary, body: unknown): void {
  const {reason = 'unknown'} = body as {reason?: string};
  const known = summary.refusedByReason[reason] ?? 0;
  summary.refusedByReason[reason] = known + 1;
}
