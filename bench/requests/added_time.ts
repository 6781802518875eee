import {Agent, request} from 'undici';
import {Measure, ProcessSite, atMost} from '../shared';
import {median} from './summary';

const PAIR_COUNT = 100;
const WORK_MS = 5;
const MAX_ADDED_MS = 2;

/**
 * Measures the latency that an entry host adds, by alternating direct calls to
 * a worker with requests through the entry host.
 */
export async function measureAddedTime(site: ProcessSite): Promise<Measure> {
  const dispatcher = new Agent({connections: 1});
  const pool = site.site.pools[1].name;
  const host = site.hosts.find(candidate => candidate.initialPool === pool);
  if (!host) throw new Error(`no host in pool ${pool}`);
  const directMs: number[] = [];
  const throughEntryMs: number[] = [];
  const headers = {'work-ms': String(WORK_MS), 'request-id': 'direct'};
  for (let i = 0; i < PAIR_COUNT; i += 1) {
    const {callerUrl} = site.entries[0];
    directMs.push(
      await timeRequest(`http://${host.address}:${host.port}/requests/direct`),
    );
    throughEntryMs.push(
      await timeRequest(`${callerUrl}/services/${pool}/through`),
    );
  }
  await dispatcher.close();
  return atMost(
    'added-ms-p50',
    median(throughEntryMs) - median(directMs),
    MAX_ADDED_MS,
  );

  async function timeRequest(url: string): Promise<number> {
    const startedAt = performance.now();
    const response = await request(url, {dispatcher, headers});
    await response.body.dump();
    return performance.now() - startedAt;
  }
}
