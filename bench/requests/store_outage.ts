import {Agent} from 'undici';
import {delay} from '../../src/state';
import {BenchOptions, Measure, ProcessSite, atLeast} from '../shared';
import {createRandom, runStream} from './load';
import {DEADLINE_MS, capacityOf, createStream} from './policy_burst';
import {countGood} from './summary';

const LOAD = 0.7;
const RUN_MS = 3_000;
/** Time after which every lease has ended. */
const LEASES_END_MS = 4_000;
const TARGET = 0.99;

/** Compares the answers in time without the store with those before its outage. */
export async function measureStoreOutage(
  site: ProcessSite,
  {seed, progress}: BenchOptions,
): Promise<Measure> {
  const before = await countAnswers(site, seed);
  await site.setStoreFaults({down: true});
  await delay(LEASES_END_MS);
  const during = await countAnswers(site, seed);
  await site.setStoreFaults({down: false});
  progress(`store up: ${before} answers, down: ${during}`);
  return atLeast('store-outage-goodput-ratio', during / before, TARGET);
}

async function countAnswers(site: ProcessSite, seed: number): Promise<number> {
  const agent = new Agent({connections: null, pipelining: 1});
  const pool = site.site.pools[3].name;
  const startsAt = performance.now();
  const endsAt = startsAt + RUN_MS;
  const perSecond = capacityOf(site, pool) * LOAD;
  const stream = createStream(site, pool, perSecond, startsAt, endsAt);
  const attempts = await runStream(stream, agent, createRandom(seed));
  await agent.close();
  return countGood(attempts, startsAt, Infinity, DEADLINE_MS) / attempts.length;
}
