import {Result} from 'true-myth';
import {HostList} from '../../src/ports';
import {createMemoryNetwork, MemoryNetwork} from '../../src/stand_ins/peers';
import {
  CallKind,
  KeyValue,
  StoreFaults,
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {
  Site,
  SitePool,
  createHost,
  createProfiles,
  findSite,
} from '../../src/stand_ins/site';
import {
  WorkerModel,
  createMemoryWorkers,
  createWorkerModel,
} from '../../src/stand_ins/worker';
import {LogLevel, Telemetry, createTelemetry} from '../../src/telemetry';
import {Host, Member, Profile} from '../../src/types';
import {Core, createCore} from '../../src/wiring';
import {advanceUntil, settle} from './clock';

/** An entry host of an in-memory site, with its own faults. */
export interface MemoryEntryHost {
  readonly member: Member;
  readonly core: Core;
  readonly telemetry: Telemetry;
  /** Faults of the connection from this entry host to the store. */
  readonly storeFaults: StoreFaults;
  /** Number of calls to the store by kind. */
  readonly storeCalls: Record<CallKind, number>;
  /** Stops the entry host abruptly, without a planned stop. */
  crash(): void;
}

/** A complete site in memory, running on the paused clock. */
export interface MemorySite {
  readonly site: Site;
  readonly keyValue: KeyValue;
  readonly network: MemoryNetwork;
  readonly workers: ReadonlyMap<string, WorkerModel>;
  /** Adds a listed host with a worker to a pool. */
  addHost(pool: string): WorkerModel;
  readonly entries: readonly MemoryEntryHost[];
  /**
   * The host list by host id; tests change it to make hosts leave or disappear.
   */
  readonly hosts: Map<string, Host>;
  /** Returns the number of writes that changed keys with a prefix. */
  countWrites(prefix: string): number;
  /** Starts an additional entry host. */
  addEntry(memberId: string): MemoryEntryHost;
  dispose(): void;
}

/** Options of an in-memory site. */
export interface MemorySiteOptions {
  /** Number of entry hosts. */
  readonly entries: number;
  readonly siteName?: string;
  /** Duration of a reboot of a worker, in ms. */
  readonly rebootMs?: number;
}

const REBOOT_MS = 2_000;
const READY_TIMEOUT_MS = 10_000;

/** Creates an in-memory site; the clock must be paused. */
export function createMemorySite(options: MemorySiteOptions): MemorySite {
  const site = findSite(options.siteName ?? 'orbitica');
  const keyValue = createKeyValue();
  const network = createMemoryNetwork();
  const hosts = new Map<string, Host>();
  const workers = new Map<string, WorkerModel>();
  const entries: MemoryEntryHost[] = [];

  function addHost(pool: SitePool, index: number): WorkerModel {
    const host = createHost(site, pool, index, '127.0.0.1', 0);
    const rebootMs = options.rebootMs ?? REBOOT_MS;
    const worker = createWorkerModel({host, rebootMs});
    hosts.set(host.id, host);
    workers.set(host.id, worker);
    return worker;
  }

  for (const pool of site.pools) {
    for (let i = 0; i < pool.workers; i += 1) addHost(pool, i);
  }
  const hostList: HostList = {
    read: async () => Result.ok([...hosts.values()]),
    dispose: () => {},
  };

  function addEntry(memberId: string): MemoryEntryHost {
    const zones = site.availabilityZones;
    const member: Member = {
      id: memberId,
      availabilityZone: zones[entries.length % zones.length],
      address: '127.0.0.1',
      callerPort: 0,
      operatorPort: 0,
      peerPort: 0,
      startedAt: Date.now(),
      leaving: false,
    };
    const storeFaults = createStoreFaults();
    const storeCalls = {
      [CallKind.Read]: 0,
      [CallKind.Write]: 0,
      [CallKind.Lease]: 0,
      [CallKind.Watch]: 0,
    };
    const store = createMemoryStore(
      keyValue,
      storeFaults,
      Math.random,
      kind => {
        storeCalls[kind] += 1;
      },
    );
    const telemetry = createTelemetry(memberId, LogLevel.Error);
    const core = createCore({
      self: member,
      telemetry,
      seeds: entries
        .map(entry => entry.member)
        .filter(({id}) => id !== memberId),
      adapters: {
        store,
        hostList,
        workers: createMemoryWorkers(workers),
        peers: network.createPeers(memberId),
      },
    });
    const detach = network.attach(memberId, core.handlers);
    const entry: MemoryEntryHost = {
      member,
      core,
      telemetry,
      storeFaults,
      storeCalls,
      crash() {
        storeFaults.down = true;
        detach();
        core.dispose();
      },
    };
    entries.push(entry);
    return entry;
  }

  for (let i = 0; i < options.entries; i += 1) addEntry(`entry-${i + 1}`);

  return {
    site,
    keyValue,
    network,
    workers,
    addHost(name) {
      const pool = site.pools.find(each => each.name === name);
      if (!pool) throw new Error(`no pool ${name}`);
      return addHost(pool, workers.size);
    },
    entries,
    hosts,
    countWrites: prefix => keyValue.countWrites(prefix),
    addEntry,
    dispose() {
      for (const entry of entries) entry.core.dispose();
      for (const worker of workers.values()) worker.dispose();
      keyValue.dispose();
    },
  };
}

/**
 * Applies profiles and advances the clock until every entry host is ready and
 * knows the hosts of every pool.
 */
export async function configureSite(
  memorySite: MemorySite,
  profiles: readonly Profile[] = createProfiles(memorySite.site),
): Promise<void> {
  const {entries} = memorySite;
  const applied = await settle(
    entries[0].core.configuration.apply({
      baseRevision: 0,
      operationId: 'first',
      author: 'test',
      profiles,
    }),
  );
  if (applied.isErr) throw new Error(JSON.stringify(applied.error));
  await advanceUntil(
    () =>
      entries.every(({core}) => core.isReady()) &&
      profiles.every(({pool, hosts}) =>
        entries.every(
          ({core}) => core.view.getPoolHosts(pool).length === hosts,
        ),
      ),
    READY_TIMEOUT_MS,
  );
}
