import {Agent} from 'undici';
import {Measure, ProcessSite, atMost, callJson} from '../shared';
import {createRandom, runStream} from './load';
import {capacityOf, createStream} from './policy_burst';

const LOAD = 0.5;
const LIMIT_MS = 2_000;
const WATCH_MS = 1_500;

/** Counts the requests that reach a worker two seconds after the host list said that it leaves. */
export async function measureLeaving(site: ProcessSite): Promise<Measure> {
  const pool = site.site.pools[2].name;
  const host = site.hosts.find(known => known.initialPool === pool);
  if (!host) throw new Error(`no host in ${pool}`);
  const agent = new Agent({connections: null, pipelining: 1});
  const startsAt = performance.now();
  const endsAt = startsAt + LIMIT_MS + WATCH_MS;
  const perSecond = capacityOf(site, pool) * LOAD;
  await callJson('POST', `${site.platformUrl}/hosts`, {...host, leaving: true});
  const saidAt = Date.now();
  const stream = createStream(site, pool, perSecond, startsAt, endsAt);
  await runStream(stream, agent, createRandom(1));
  await agent.close();
  const {runs} = await site.readRuns(host);
  const late = runs.filter(run => run.startedAt > saidAt + LIMIT_MS).length;
  return atMost('new-work-to-leaving-after-2s', late, 0);
}
