import {
  ExternalPlatform,
  createExternalPlatform,
} from '../../src/stand_ins/external_platform';
import {Entry, OwnEnd, createEntry} from './entry';
import {LinkKind} from './fault';
import {Link, createLink} from './link';
import {Random} from './random';
import {StoreServer, createStoreServer} from './store_server';

/** Entry hosts as processes, the platform's stand-ins, and proxies between. */
export interface SoakSite {
  readonly platform: ExternalPlatform;
  readonly entries: readonly Entry[];
  /** The store as each entry host sees it. */
  readonly stores: readonly StoreServer[];
  /** Number of machines with work. */
  readonly hostCount: number;
  /** Proxies by kind: one for each entry host, or for each machine. */
  readonly links: Readonly<Record<LinkKind, readonly Link[]>>;
  /** Creates an entry host that the callers don't know. */
  addEntry(): Promise<Entry>;
  /** Returns all entry hosts, also those that were added. */
  listEntries(): readonly Entry[];
  dispose(): Promise<void>;
}

/** Options of a site. */
export interface SoakSiteOptions {
  readonly random: Random;
  readonly folder: string;
  readonly entryCount: number;
  readonly hostCount: number;
  readonly onOwnEnd: (end: OwnEnd) => void;
}

/** Pools with work, and their shares of the machines. */
export const POOLS = new Map([
  ['planner', 5],
  ['desk', 4],
]);
/** Pool whose machines are off. */
export const SPARE_POOL = 'spare';
const SPARE_MACHINES = 2;
/** Number of machines with work unless another is wanted. */
export const HOST_COUNT = 9;

/** Starts the stand-ins and creates the entry hosts, which don't run yet. */
export async function createSoakSite({
  random,
  folder,
  entryCount,
  hostCount,
  onOwnEnd,
}: SoakSiteOptions): Promise<SoakSite> {
  const pools = new Map(
    [...POOLS].map(([pool, share]) => [
      pool,
      Math.round((hostCount * share) / HOST_COUNT),
    ]),
  );
  const links: Record<LinkKind, Link[]> = {
    [LinkKind.Callers]: [],
    [LinkKind.Store]: [],
    [LinkKind.Machines]: [],
    [LinkKind.Hosts]: [],
  };

  async function addLink(kind: LinkKind, target: string): Promise<string> {
    const link = await createLink(target);
    links[kind].push(link);
    return link.address;
  }

  const platform = await createExternalPlatform({
    pools,
    sparePool: SPARE_POOL,
    spareMachines: SPARE_MACHINES,
    random: () => random.next(),
    exposeHost: (_machine, address) => addLink(LinkKind.Hosts, address),
  });
  const entries: Entry[] = [];
  const added: Entry[] = [];
  const stores: StoreServer[] = [];

  async function create(index: number): Promise<Entry> {
    const store = await createStoreServer(platform.keyValue, random);
    stores.push(store);
    return createEntry({
      index,
      // A network of its own lets several soaks and test suites run at once.
      ip: `127.${100 + ((process.pid >> 8) & 63)}.${process.pid & 255}.${index + 1}`,
      platform: {
        storeAddress: await addLink(LinkKind.Store, store.address),
        machinesAddress: await addLink(
          LinkKind.Machines,
          platform.machinesAddress,
        ),
        adviceAddress: platform.adviceAddress,
      },
      folder,
      onOwnEnd,
    });
  }

  for (let index = 0; index < entryCount; index += 1) {
    const entry = await create(index);
    entries.push(entry);
    await addLink(LinkKind.Callers, entry.callersAddress);
  }

  return {
    platform,
    entries,
    stores,
    hostCount,
    links,
    async addEntry() {
      const entry = await create(entryCount + added.length);
      added.push(entry);
      return entry;
    },
    listEntries: () => [...entries, ...added],
    async dispose() {
      await Promise.all([...entries, ...added].map(entry => entry.dispose()));
      for (const link of Object.values(links).flat()) link.dispose();
      for (const store of stores) store.dispose();
      platform.dispose();
    },
  };
}
