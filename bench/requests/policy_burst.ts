import {Agent} from 'undici';
import {countPossibleRuns} from '../../src/history/slots';
import {delay} from '../../src/state';
import {BenchOptions, ProcessSite} from '../shared';
import {Attempt} from './attempt';
import {createRandom, runStream} from './load';
import {
  countFalseNotRun,
  countGood,
  countReasons,
  countWrongOrCut,
  describeRuns,
  readWorkers,
  refusalMedian,
} from './summary';

/** Result of the brief's demand under one way of sharing slots. */
export interface BurstResult {
  /** Answers in time over what the slots could serve in the bursts. */
  readonly goodput: number;
  readonly refusalMs: number;
  readonly exceeded: number;
  readonly falseNotRun: number;
  readonly wrongOrCut: number;
}

/** Time of one run at a worker. */
export const WORK_MS = 200;
/** Deadline of each request. */
export const DEADLINE_MS = 2_000;

/** Demand of a burst over what its pool's slots can serve. */
const OVERLOAD = 1.3;
/** Mean demand over that of a burst. */
const BURST_OVER_MEAN = 5;
/** Demand between bursts over the mean. */
const QUIET_OVER_MEAN = 1 / 20;
const BURST_MS = 4_000;
const QUICK_BURST_MS = 3_000;
const QUICK_POOLS = 1;
const WARM_UP_MS = 1_500;
/** Demand while processes warm up, over what a pool can serve. */
const WARM_UP_LOAD = 0.8;
const SLOTS = 8;

/** Lets each queue in turn ask for five times its mean. */
export async function runBursts(
  site: ProcessSite,
  name: string,
  {quick, seed, progress}: BenchOptions,
): Promise<BurstResult> {
  const agent = new Agent({connections: null, pipelining: 1});
  const random = createRandom(seed);
  const names = site.site.pools.map(pool => pool.name);
  const turns = quick ? names.slice(0, QUICK_POOLS) : names;
  const burstMs = quick ? QUICK_BURST_MS : BURST_MS;
  const attempts: Attempt[] = [];
  let good = 0;
  let possible = 0;
  await warmUp(site, agent);
  for (const burst of turns) {
    const startsAt = performance.now() + 100;
    const endsAt = startsAt + burstMs;
    const answered = await Promise.all(
      names.map(pool => {
        const perSecond = demandOf(site, pool, pool === burst);
        const stream = createStream(site, pool, perSecond, startsAt, endsAt);
        return runStream(stream, agent, random);
      }),
    );
    const inBurst = answered[names.indexOf(burst)];
    const arrivals = inBurst.map(({sentAt}) => sentAt);
    good += countGood(inBurst, startsAt, endsAt, DEADLINE_MS);
    possible += countPossibleRuns(
      arrivals,
      slotsOf(site, burst),
      WORK_MS,
      endsAt,
    );
    attempts.push(...answered.flat());
  }
  await agent.close();
  const {runs, exceeded} = await readWorkers(site);
  progress(
    `${name}: ${good} of ${possible}; ${countReasons(attempts)}; ${describeRuns(runs)}`,
  );
  return {
    goodput: good / possible,
    refusalMs: refusalMedian(attempts),
    exceeded,
    falseNotRun: countFalseNotRun(attempts, runs),
    wrongOrCut: countWrongOrCut(attempts),
  };
}

/** Runs every process's code before anything is measured. */
async function warmUp(site: ProcessSite, agent: Agent): Promise<void> {
  const startsAt = performance.now();
  const endsAt = startsAt + WARM_UP_MS;
  const pool = site.site.pools[0].name;
  const perSecond = capacityOf(site, pool) * WARM_UP_LOAD;
  const stream = createStream(site, pool, perSecond, startsAt, endsAt);
  await runStream(stream, agent, createRandom(0));
  await delay(WORK_MS);
}

/** Describes a stream to all entry hosts at the bench's work and deadline. */
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
  return hosts.length * SLOTS;
}

/** Returns the requests per second that a pool's slots can serve. */
export function capacityOf(site: ProcessSite, pool: string): number {
  return (slotsOf(site, pool) * 1_000) / WORK_MS;
}

function demandOf(site: ProcessSite, pool: string, bursts: boolean): number {
  const burst = capacityOf(site, pool) * OVERLOAD;
  return bursts ? burst : (burst / BURST_OVER_MEAN) * QUIET_OVER_MEAN;
}
