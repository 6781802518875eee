import {Agent} from 'undici';
import {countPossibleRuns} from '../../src/history/slots';
import {delay} from '../../src/state';
import {BenchOptions, ProcessSite} from '../shared';
import {Attempt} from './attempt';
import {createRandom, runStream} from './load';
import {
  countFalseNotRun,
  countInTime,
  countReasons,
  countWrongOrTruncated,
  describeRuns,
  readWorkers,
  refusalMedianMs,
} from './summary';

/** Result of the bursts under one slot policy. */
export interface BurstResult {
  /**
   * Ratio of the answers within the deadline to the runs that the slots could
   * complete in the bursts.
   */
  readonly goodput: number;
  /** Median time to a refusal in ms. */
  readonly refusalMs: number;
  /** Number of workers that ran more requests at once than they have slots. */
  readonly exceeded: number;
  readonly falseNotRun: number;
  readonly wrongOrTruncated: number;
}

/** Duration of a run on a worker. */
export const WORK_MS = 200;
/** Deadline of each request. */
export const DEADLINE_MS = 2_000;

/** Ratio of the demand of a burst to the capacity of its pool. */
const OVERLOAD_RATIO = 1.3;
/** Ratio of the demand of a burst to the mean demand. */
const BURST_TO_MEAN_RATIO = 5;
/** Ratio of the demand between bursts to the mean demand. */
const OFF_PEAK_TO_MEAN_RATIO = 1 / 20;
const BURST_MS = 4_000;
const QUICK_BURST_MS = 3_000;
const QUICK_POOLS = 1;
const WARM_UP_MS = 1_500;
/** Ratio of the demand during the warm-up to the capacity of the pool. */
const WARM_UP_LOAD_RATIO = 0.8;
const SLOTS_PER_HOST = 8;

/**
 * Runs a burst of five times the mean demand for each pool in turn, while the
 * other pools have off-peak demand.
 */
export async function runBursts(
  site: ProcessSite,
  name: string,
  {quick, seed, progress}: BenchOptions,
): Promise<BurstResult> {
  const agent = new Agent({connections: null, pipelining: 1});
  const random = createRandom(seed);
  const names = site.site.pools.map(pool => pool.name);
  const burstPools = quick ? names.slice(0, QUICK_POOLS) : names;
  const burstMs = quick ? QUICK_BURST_MS : BURST_MS;
  const attempts: Attempt[] = [];
  let timelyCount = 0;
  let possibleCount = 0;
  await warmUp(site, agent);
  for (const burst of burstPools) {
    const startsAt = performance.now() + 100;
    const endsAt = startsAt + burstMs;
    const attemptsByPool = await Promise.all(
      names.map(pool => {
        const perSecond = demandOf(site, pool, pool === burst);
        const stream = createStream(site, pool, perSecond, startsAt, endsAt);
        return runStream(stream, agent, random);
      }),
    );
    const inBurst = attemptsByPool[names.indexOf(burst)];
    const arrivals = inBurst.map(({sentAt}) => sentAt);
    timelyCount += countInTime(inBurst, startsAt, endsAt, DEADLINE_MS);
    possibleCount += countPossibleRuns(
      arrivals,
      slotsOf(site, burst),
      WORK_MS,
      endsAt,
    );
    attempts.push(...attemptsByPool.flat());
  }
  await agent.close();
  const {runs, exceeded} = await readWorkers(site);
  progress(
    `${name}: ${timelyCount} of ${possibleCount} possible answers in time; ${countReasons(attempts)}; ${describeRuns(runs)}`,
  );
  return {
    goodput: timelyCount / possibleCount,
    refusalMs: refusalMedianMs(attempts),
    exceeded,
    falseNotRun: countFalseNotRun(attempts, runs),
    wrongOrTruncated: countWrongOrTruncated(attempts),
  };
}

/**
 * Sends requests through the entry hosts before anything is measured, so that
 * cold starts do not affect the result.
 */
async function warmUp(site: ProcessSite, agent: Agent): Promise<void> {
  const startsAt = performance.now();
  const endsAt = startsAt + WARM_UP_MS;
  const pool = site.site.pools[0].name;
  const perSecond = capacityOf(site, pool) * WARM_UP_LOAD_RATIO;
  const stream = createStream(site, pool, perSecond, startsAt, endsAt);
  await runStream(stream, agent, createRandom(0));
  await delay(WORK_MS);
}

/**
 * Creates a stream to all entry hosts with the bench's run duration and
 * deadline.
 */
export function createStream(
  site: ProcessSite,
  pool: string,
  perSecond: number,
  startsAt: number,
  endsAt: number,
) {
  return {
    pool,
    perSecond,
    callerUrls: site.entries.map(entry => entry.callerUrl),
    workMs: WORK_MS,
    deadlineMs: DEADLINE_MS,
    startsAt,
    endsAt,
  };
}

function slotsOf(site: ProcessSite, pool: string): number {
  const hosts = site.hosts.filter(host => host.initialPool === pool);
  return hosts.length * SLOTS_PER_HOST;
}

/** Returns the capacity of a pool in requests per second. */
export function capacityOf(site: ProcessSite, pool: string): number {
  return (slotsOf(site, pool) * 1_000) / WORK_MS;
}

function demandOf(site: ProcessSite, pool: string, isBurst: boolean): number {
  const burstDemand = capacityOf(site, pool) * OVERLOAD_RATIO;
  return isBurst
    ? burstDemand
    : (burstDemand / BURST_TO_MEAN_RATIO) * OFF_PEAK_TO_MEAN_RATIO;
}
