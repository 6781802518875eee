import {Agent} from 'undici';
import {delay} from '../../src/state';
import {BenchOptions, Measure, ProcessSite, atLeast} from '../shared';
import {createRandom, runStream} from './load';
import {DEADLINE_MS, capacityOf, createStream} from './policy_burst';
import {countInTime} from './summary';

const LOAD_RATIO = 0.7;
const RUN_MS = 3_000;
/** Time after which every lease has expired, in ms. */
const LEASE_EXPIRY_MS = 4_000;
const MIN_GOODPUT_RATIO = 0.99;

/**
 * Compares the share of requests answered within the deadline during a store
 * outage with that before it.
 */
export async function measureStoreOutage(
  site: ProcessSite,
  {seed, progress}: BenchOptions,
): Promise<Measure> {
  const before = await measureTimelyRatio(site, seed);
  await site.setStoreFaults({down: true});
  await delay(LEASE_EXPIRY_MS);
  const during = await measureTimelyRatio(site, seed);
  await site.setStoreFaults({down: false});
  progress(
    `share of timely answers: ${before} with the store, ${during} during the outage`,
  );
  return atLeast(
    'store-outage-goodput-ratio',
    during / before,
    MIN_GOODPUT_RATIO,
  );
}

async function measureTimelyRatio(
  site: ProcessSite,
  seed: number,
): Promise<number> {
  const agent = new Agent({connections: null, pipelining: 1});
  const pool = site.site.pools[3].name;
  const startsAt = performance.now();
  const endsAt = startsAt + RUN_MS;
  const perSecond = capacityOf(site, pool) * LOAD_RATIO;
  const stream = createStream(site, pool, perSecond, startsAt, endsAt);
  const attempts = await runStream(stream, agent, createRandom(seed));
  await agent.close();
  return (
    countInTime(attempts, startsAt, Infinity, DEADLINE_MS) / attempts.length
  );
}
