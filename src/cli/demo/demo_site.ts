import {PlatformServer, createPlatformServer} from '../../stand_ins/platform';
import {Site, createHost} from '../../stand_ins/site';
import {
  WorkerServer,
  createWorkerModel,
  createWorkerServer,
} from '../../stand_ins/worker';
import {LogFormat, LogLevel} from '../../telemetry';
import {Host} from '../../types';
import {EntryHost, createEntryHost} from '../../wiring';
import {callJson} from './http_call';

/** A site whose entry hosts, platform and workers run in this process. */
export interface DemoSite {
  readonly platform: PlatformServer;
  readonly platformUrl: string;
  readonly workers: readonly WorkerServer[];
  readonly entries: readonly EntryHost[];
  dispose(): Promise<void>;
}

const ADDRESS = '127.0.0.1';
const REBOOT_MS = 500;

/**
 * Starts a site on free ports of the loopback interface.
 *
 * @param site pools, zones and sizes of the site
 * @param entryCount number of entry hosts to start
 */
export async function createDemoSite(
  site: Site,
  entryCount: number,
): Promise<DemoSite> {
  const platform = await createPlatformServer(ADDRESS, 0);
  const platformUrl = `http://${ADDRESS}:${platform.port}`;
  const workers = await startWorkers(site, platformUrl);
  const entries = await startEntries(site, entryCount, platformUrl);
  return {
    platform,
    platformUrl,
    workers,
    entries,
    async dispose() {
      await Promise.all(entries.map(entry => entry.stop()));
      await Promise.all(workers.map(worker => worker.dispose()));
      await platform.dispose();
    },
  };
}

async function startWorkers(
  site: Site,
  url: string,
): Promise<readonly WorkerServer[]> {
  const servers: WorkerServer[] = [];
  for (const pool of site.pools) {
    for (let i = 0; i < pool.workers; i += 1) {
      const host = createHost(site, pool, i, ADDRESS, 0);
      servers.push(await startWorker(host, url));
    }
  }
  return servers;
}

async function startWorker(host: Host, url: string): Promise<WorkerServer> {
  const model = createWorkerModel({host, rebootMs: REBOOT_MS});
  const server = await createWorkerServer(model, 0);
  await callJson('POST', `${url}/hosts`, {...host, port: server.port});
  return server;
}

async function startEntries(
  site: Site,
  count: number,
  url: string,
): Promise<readonly EntryHost[]> {
  const zones = site.availabilityZones;
  const started: EntryHost[] = [];
  for (let i = 0; i < count; i += 1) {
    started.push(
      await startEntry(`entry-${i + 1}`, zones[i % zones.length], url),
    );
  }
  return started;
}

function startEntry(
  memberId: string,
  availabilityZone: string,
  url: string,
): Promise<EntryHost> {
  return createEntryHost({
    memberId,
    availabilityZone,
    address: ADDRESS,
    callerPort: 0,
    operatorPort: 0,
    peerPort: 0,
    storeUrls: [url],
    hostListUrl: url,
    logLevel: LogLevel.Warn,
    logFormat: LogFormat.Json,
    storeTimeoutMs: 1_000,
    connectionsPerWorker: 8,
    workerTimeoutMs: 1_000,
  });
}
