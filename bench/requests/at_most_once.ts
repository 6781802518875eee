import prand from 'pure-rand';
import {
  RequestViolation,
  RequestViolationKind,
  checkRequests,
} from '../../src/history/requests';
import {delay} from '../../src/state';
import {
  Bench,
  BenchOptions,
  Measure,
  atLeast,
  atMost,
  createProcessSite,
} from '../shared';
import {startClaimFaults} from './claim_faults';
import {createKeyedCaller} from './keyed_caller';

const FIRST_PORT = 23_000;
const ENTRIES = 7;
const REQUESTS = 10_000;
const QUICK_REQUESTS = 400;
const CALLERS = 64;
const PAUSE_MS = 20;
/** Time for recording the outcomes of the last requests, in ms. */
const SETTLE_MS = 3_000;

const WRONG_ANSWERS: readonly RequestViolationKind[] = [
  RequestViolationKind.WrongAnswer,
  RequestViolationKind.TruncatedAnswer,
  RequestViolationKind.DuplicateAnswer,
  RequestViolationKind.FalseRun,
];

/**
 * Sends non-idempotent requests with idempotency keys while entry hosts, store
 * and connections fail, and checks the history.
 */
export async function measureAtMostOnce({
  seed,
  quick,
  progress,
}: BenchOptions): Promise<readonly Measure[]> {
  const requests = quick ? QUICK_REQUESTS : REQUESTS;
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
  });
  const random = createRandom(seed);
  const caller = createKeyedCaller(site, random);
  const writesBefore = await site.countStoreWrites('claims/');
  const faults = startClaimFaults(site, random, progress);
  let nextIndex = 0;
  const callers = Array.from({length: CALLERS}, async () => {
    while (nextIndex < requests) {
      const index = nextIndex;
      nextIndex += 1;
      await caller.send(index);
      await delay(PAUSE_MS);
    }
  });
  await Promise.all(callers);
  await faults.stop();
  await delay(SETTLE_MS);
  const writes = (await site.countStoreWrites('claims/')) - writesBefore;
  const history = await caller.getHistory();
  await caller.dispose();
  await site.dispose();

  const violations = checkRequests(history);
  violations.slice(0, 10).forEach(v => progress(JSON.stringify(v)));
  progress(JSON.stringify(faults.injectedCounts));
  progress(
    `${requests} requests, ${history.attempts.length} attempts, ` +
      `${history.runs.length} runs, ${caller.countConfirmed()} confirmed, ` +
      `${writes} writes, first attempts p50 ${median(caller.firstAttemptMs)} ms`,
  );
  return [
    atMost(
      'non-idempotent-doubled',
      countViolations(violations, [RequestViolationKind.DuplicateRun]),
      0,
    ),
    atMost(
      'false-not-run',
      countViolations(violations, [RequestViolationKind.FalseNotRun]),
      0,
    ),
    atMost(
      'answers-wrong-or-cut',
      countViolations(violations, WRONG_ANSWERS),
      0,
    ),
    atLeast('keyed-confirmed-ratio', caller.countConfirmed() / requests, 0.9),
    atMost('claim-writes-per-claim', writes / history.runs.length, 1),
  ];
}

/** Runs the at-most-once part as a bench of its own. */
export const runAtMostOnceBench: Bench = async options => ({
  bench: 'at-most-once',
  seed: options.seed,
  measures: await measureAtMostOnce(options),
});

function countViolations(
  violations: readonly RequestViolation[],
  kinds: readonly RequestViolationKind[],
): number {
  return violations.filter(({kind}) => kinds.includes(kind)).length;
}

function createRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  const range = 2 ** 31;
  return () =>
    prand.unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0);
}
