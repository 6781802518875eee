import {Agent} from 'undici';
import {Measure, ProcessSite, atMost, callJson} from '../shared';
import {createRandom, runStream} from './load';
import {capacityOf, createStream} from './policy_burst';

const LOAD_RATIO = 0.5;
const MAX_REACTION_MS = 2_000;
const OBSERVATION_MS = 1_500;

/**
 * Counts the requests that start on a worker more than two seconds after the
 * host list marked its host as leaving.
 */
export async function measureLeavingHost(site: ProcessSite): Promise<Measure> {
  const pool = site.site.pools[2].name;
  const host = site.hosts.find(candidate => candidate.initialPool === pool);
  if (!host) throw new Error(`no host in pool ${pool}`);
  const agent = new Agent({connections: null, pipelining: 1});
  const startsAt = performance.now();
  const endsAt = startsAt + MAX_REACTION_MS + OBSERVATION_MS;
  const perSecond = capacityOf(site, pool) * LOAD_RATIO;
  await callJson('POST', `${site.platformUrl}/hosts`, {...host, leaving: true});
  const markedAt = Date.now();
  const stream = createStream(site, pool, perSecond, startsAt, endsAt);
  await runStream(stream, agent, createRandom(1));
  await agent.close();
  const {runs} = await site.readRuns(host);
  const late = runs.filter(
    run => run.startedAt > markedAt + MAX_REACTION_MS,
  ).length;
  return atMost('new-work-to-leaving-after-2s', late, 0);
}
