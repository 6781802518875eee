import {request} from 'undici';
import {
  Site,
  createHost,
  createProfiles,
  findSite,
} from '../../src/stand_ins/site';
import {CallKind, StoreFaults} from '../../src/stand_ins/platform';
import {RunRecord, WorkerFaults} from '../../src/stand_ins/worker';
import {delay} from '../../src/state';
import {Host, Profile} from '../../src/types';
import {Child, startChild} from './child';

/** An entry host that runs as a child process. */
export interface EntryProcess {
  readonly id: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  child: Child;
  /**
   * Starts the process again after it has exited and resolves once it is ready.
   */
  restart(): Promise<void>;
}

/**
 * A site whose platform, workers and entry hosts run as processes on loopback
 * addresses.
 */
export interface ProcessSite {
  readonly site: Site;
  readonly platformUrl: string;
  readonly entries: readonly EntryProcess[];
  readonly hosts: readonly Host[];
  setStoreFaults(faults: Partial<StoreFaults>): Promise<void>;
  setWorkerFaults(host: Host, faults: Partial<WorkerFaults>): Promise<void>;
  /**
   * Reads a worker's runs and the maximum number of slots that were in use at
   * once.
   */
  readRuns(host: Host): Promise<{runs: RunRecord[]; slotsPeak: number}>;
  /** Reads the number of store calls since the start, by kind. */
  readStoreCalls(): Promise<Record<CallKind, number>>;
  /**
   * Returns the number of writes since the start to keys with a prefix such as
   * "claims/".
   */
  countStoreWrites(prefix: string): Promise<number>;
  dispose(): Promise<void>;
}

/** Options of a process site. */
export interface ProcessSiteOptions {
  readonly siteName?: string;
  readonly entries: number;
  /**
   * First port of the range that the site uses; each entry host has its own
   * loopback address.
   */
  readonly firstPort: number;
  readonly profiles?: readonly Profile[];
  /** Additional arguments of each entry host's "run" command. */
  readonly runArgs?: readonly string[];
  readonly rebootMs?: number;
}

const ADDRESS = '127.0.0.1';
const PORTS_PER_ENTRY = 3;
const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 20_000;

/**
 * Starts platform, workers and entry hosts as processes, applies the profiles
 * and waits until all entry hosts are ready.
 */
export async function createProcessSite(
  options: ProcessSiteOptions,
): Promise<ProcessSite> {
  const site = findSite(options.siteName ?? 'orbitica');
  const {firstPort} = options;
  const platformUrl = `http://${ADDRESS}:${firstPort}`;
  const entryPort = firstPort + 1;
  const workerPort = entryPort + PORTS_PER_ENTRY;

  const platform = startChild([
    ...['stand-in', 'platform', '--port', String(firstPort)],
  ]);
  await waitFor(() => isResponding(`${platformUrl}/hosts`));
  const workers = startChild([
    ...['stand-in', 'workers', '--site', site.name],
    ...['--first-port', String(workerPort)],
    ...['--host-list-url', platformUrl],
    ...['--reboot-ms', String(options.rebootMs ?? 1_000)],
  ]);
  const hosts = listHosts(site, workerPort);
  await waitFor(async () => {
    const listed = (await callJson('GET', `${platformUrl}/hosts`)) as Host[];
    return listed.length === hosts.length;
  });
  const entries = Array.from({length: options.entries}, (_, i) =>
    startEntry(i, entryPort, platformUrl, site, options),
  );
  for (const entry of entries) {
    await waitFor(() => isResponding(`${entry.operatorUrl}/healthz`));
  }
  await callJson('PUT', `${entries[0].operatorUrl}/v1/configuration`, {
    baseRevision: 0,
    operationId: 'bench',
    author: 'bench',
    profiles: options.profiles ?? createProfiles(site),
  });
  for (const entry of entries) {
    await waitForReady(entry);
    await waitFor(async () => {
      const listed = await callJson('GET', `${entry.operatorUrl}/v1/hosts`);
      return (listed as unknown[]).length === hosts.length;
    });
  }

  return {
    site,
    platformUrl,
    entries,
    hosts,
    async setStoreFaults(faults) {
      await callJson('POST', `${platformUrl}/faults`, faults);
    },
    async setWorkerFaults(host, faults) {
      await callJson('POST', `${workerUrl(host)}/control/faults`, faults);
    },
    readRuns: async host =>
      (await callJson('GET', `${workerUrl(host)}/control/runs`)) as {
        runs: RunRecord[];
        slotsPeak: number;
      },
    readStoreCalls: async () =>
      (await callJson('POST', `${platformUrl}/calls`, {})) as Record<
        CallKind,
        number
      >,
    async countStoreWrites(prefix) {
      const answer = await callJson('POST', `${platformUrl}/writes`, {prefix});
      return (answer as {writes: number}).writes;
    },
    async dispose() {
      await Promise.all(entries.map(entry => entry.child.end('SIGKILL')));
      await workers.end('SIGKILL');
      await platform.end('SIGKILL');
    },
  };
}

function startEntry(
  index: number,
  port: number,
  platformUrl: string,
  site: Site,
  options: ProcessSiteOptions,
): EntryProcess {
  const id = `entry-${index + 1}`;
  const address = `127.0.0.${index + 1}`;
  const zones = site.availabilityZones;
  const args = [
    ...['run', '--member-id', id, '--address', address],
    ...['--availability-zone', zones[index % zones.length]],
    ...['--caller-port', String(port)],
    ...['--operator-port', String(port + 1)],
    ...['--peer-port', String(port + 2)],
    ...['--store-url', platformUrl, '--host-list-url', platformUrl],
    ...['--log-level', 'warn'],
    ...(options.runArgs ?? []),
  ];
  const entry: EntryProcess = {
    id,
    callerUrl: `http://${address}:${port}`,
    operatorUrl: `http://${address}:${port + 1}`,
    child: startChild(args),
    async restart() {
      entry.child = startChild(args);
      await waitForReady(entry);
    },
  };
  return entry;
}

function listHosts(site: Site, firstPort: number): readonly Host[] {
  const hosts: Host[] = [];
  for (const pool of site.pools) {
    for (let i = 0; i < pool.workers; i += 1) {
      const port = firstPort + hosts.length;
      hosts.push(createHost(site, pool, i, ADDRESS, port));
    }
  }
  return hosts;
}

async function waitForReady(entry: EntryProcess): Promise<void> {
  await waitFor(() => isResponding(`${entry.callerUrl}/readyz`));
}

async function isResponding(url: string): Promise<boolean> {
  try {
    const response = await request(url);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}

async function waitFor(isDone: () => Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + READY_TIMEOUT_MS;
  while (!(await isDone())) {
    if (performance.now() > endsAt)
      throw new Error('process site did not become ready within 20 s');
    await delay(READY_POLL_MS);
  }
}

function workerUrl(host: Host): string {
  return `http://${host.address}:${host.port}`;
}

/**
 * Sends an HTTP request with an optional JSON body and returns the parsed body
 * of the response.
 */
export async function callJson(
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  url: string,
  body?: unknown,
): Promise<unknown> {
  const response = await request(url, {
    method,
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return response.body.json();
}
