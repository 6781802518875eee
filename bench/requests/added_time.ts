import {Agent, request} from 'undici';
import {Measure, ProcessSite, atMost} from '../shared';
import {median} from './summary';

const PAIRS = 100;
const WORK_MS = 5;
const TARGET_MS = 2;

/** Compares the time of a request through an entry host with that of a direct call, one after the other. */
export async function measureAddedTime(site: ProcessSite): Promise<Measure> {
  const dispatcher = new Agent({connections: 1});
  const pool = site.site.pools[1].name;
  const host = site.hosts.find(known => known.initialPool === pool);
  if (!host) throw new Error(`no host in ${pool}`);
  const direct: number[] = [];
  const through: number[] = [];
  const headers = {'work-ms': String(WORK_MS), 'request-id': 'direct'};
  for (let i = 0; i < PAIRS; i += 1) {
    const {callerUrl} = site.entries[0];
    direct.push(
      await time(`http://${host.address}:${host.port}/requests/direct`),
    );
    through.push(await time(`${callerUrl}/services/${pool}/through`));
  }
  await dispatcher.close();
  return atMost('added-ms-p50', median(through) - median(direct), TARGET_MS);

  async function time(url: string): Promise<number> {
    const startedAt = performance.now();
    const response = await request(url, {dispatcher, headers});
    await response.body.dump();
    return performance.now() - startedAt;
  }
}
