import {Agent} from 'undici';
import {BenchOptions, Measure, ProcessSite, atMost} from '../shared';
import {createRandom, runStream} from './load';
import {capacityOf, createStream} from './policy_burst';
import {countReasons, readWorkers} from './summary';

const LOAD_RATIO = 0.5;
const RUN_MS = 3_000;
const MAX_RUNS_PER_REQUEST = 1.1;

/**
 * Measures the number of runs per request while a quarter of the workers of a
 * pool fail every request.
 */
export async function measureRetries(
  site: ProcessSite,
  {seed, progress}: BenchOptions,
): Promise<Measure> {
  const pool = site.site.pools[1].name;
  const hosts = site.hosts.filter(host => host.initialPool === pool);
  const failing = hosts.slice(0, hosts.length / 4);
  for (const host of failing) await site.setWorkerFaults(host, {failAll: true});
  const agent = new Agent({connections: null, pipelining: 1});
  const startsAt = performance.now();
  const stream = createStream(
    site,
    pool,
    capacityOf(site, pool) * LOAD_RATIO,
    startsAt,
    startsAt + RUN_MS,
  );
  const attempts = await runStream(stream, agent, createRandom(seed));
  await agent.close();
  for (const host of failing) {
    await site.setWorkerFaults(host, {failAll: false});
  }
  const ids = new Set(attempts.map(({requestId}) => requestId));
  const {runs} = await readWorkers(site);
  const runCount = runs.filter(({id}) => ids.has(id)).length;
  progress(
    `a quarter of the workers fail: ${countReasons(attempts)}; ${runCount} runs`,
  );
  return atMost(
    'retry-amplification',
    runCount / attempts.length,
    MAX_RUNS_PER_REQUEST,
  );
}
