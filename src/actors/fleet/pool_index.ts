import {Mirror, ObservableValue} from '../../state';
import {
  Host,
  HostAssignment,
  HostState,
  PoolHost,
  PoolRecord,
} from '../../types';

/** Index of hosts and assignments by pool, rebuilt only after a change. */
export interface PoolIndex {
  /**
   * Returns a pool's hosts with their states; the same array until the host
   * list, an assignment or the pool's record changes.
   */
  getPoolHosts(pool: string): readonly PoolHost[];
  /** Returns the hosts of a pool that are on the host list, by id. */
  getListedHosts(pool: string): ReadonlyMap<string, Host>;
  /**
   * Returns a pool's assignments by host id, including hosts that aren't on the
   * host list.
   */
  getPoolAssignments(pool: string): ReadonlyMap<string, HostAssignment>;
  /** Returns all assignments by host id. */
  getAssignments(): ReadonlyMap<string, HostAssignment>;
}

/** Sources of the index. */
export interface PoolIndexOptions {
  readonly hosts: ObservableValue<readonly Host[] | undefined>;
  readonly assignments: Mirror<HostAssignment>;
  readonly records: Mirror<PoolRecord>;
}

interface PoolMembership {
  readonly listed: Map<string, Host>;
  readonly assigned: Map<string, HostAssignment>;
}

interface Index {
  readonly byHost: ReadonlyMap<string, HostAssignment>;
  readonly byPool: ReadonlyMap<string, PoolMembership>;
}

interface CachedPoolHosts {
  readonly members: PoolMembership;
  readonly record?: PoolRecord;
  readonly hosts: readonly PoolHost[];
}

const EMPTY_POOL: PoolMembership = {listed: new Map(), assigned: new Map()};

/**
 * Creates an index over the host list, the assignments and the pool records.
 */
export function createPoolIndex(options: PoolIndexOptions): PoolIndex {
  const {hosts, assignments, records} = options;
  const cache = new Map<string, CachedPoolHosts>();
  let index: Index | undefined;
  hosts.onChange(() => (index = undefined));
  assignments.entries.onChange(() => (index = undefined));

  function getIndex(): Index {
    index ??= buildIndex(hosts.get() ?? [], assignments);
    return index;
  }

  function getMembers(pool: string): PoolMembership {
    return getIndex().byPool.get(pool) ?? EMPTY_POOL;
  }

  return {
    getPoolHosts(pool) {
      const members = getMembers(pool);
      const record = records.entries.get().get(`pools/${pool}`)?.value;
      const known = cache.get(pool);
      if (known?.members === members && known.record === record) {
        return known.hosts;
      }
      const listed = listPoolHosts(members, record);
      cache.set(pool, {members, record, hosts: listed});
      return listed;
    },
    getListedHosts: pool => getMembers(pool).listed,
    getPoolAssignments: pool => getMembers(pool).assigned,
    getAssignments: () => getIndex().byHost,
  };
}

function buildIndex(
  hosts: readonly Host[],
  assignments: Mirror<HostAssignment>,
): Index {
  const byHost = new Map<string, HostAssignment>();
  const byPool = new Map<string, PoolMembership>();
  for (const {value} of assignments.entries.get().values()) {
    byHost.set(value.hostId, value);
    let members = byPool.get(value.pool);
    if (!members) {
      members = {listed: new Map(), assigned: new Map()};
      byPool.set(value.pool, members);
    }
    members.assigned.set(value.hostId, value);
  }
  for (const host of hosts) {
    const pool = byHost.get(host.id)?.pool;
    if (pool !== undefined) byPool.get(pool)?.listed.set(host.id, host);
  }
  return {byHost, byPool};
}

function listPoolHosts(
  members: PoolMembership,
  record: PoolRecord | undefined,
): readonly PoolHost[] {
  const entries = new Map(record?.unavailable.map(e => [e.hostId, e.state]));
  return [...members.listed.values()].map(host => {
    const fallback = host.leaving ? HostState.Leaving : HostState.Active;
    return {host, state: entries.get(host.id) ?? fallback};
  });
}
