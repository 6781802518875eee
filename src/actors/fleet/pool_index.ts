import {Mirror, ObservableValue} from '../../state';
import {
  Host,
  HostAssignment,
  HostState,
  PoolHost,
  PoolRecord,
} from '../../types';

/** Hosts by pool, computed again only after a change. */
export interface PoolIndex {
  /** Returns a pool's hosts with their states; the same array until they change. */
  getPoolHosts(pool: string): readonly PoolHost[];
  /** Returns a pool's listed hosts by id. */
  getListed(pool: string): ReadonlyMap<string, Host>;
  /** Returns a pool's assignments by host id, listed or not. */
  getAssigned(pool: string): ReadonlyMap<string, HostAssignment>;
  /** Returns all assignments by host id. */
  getAssignments(): ReadonlyMap<string, HostAssignment>;
}

/** What the index is made from. */
export interface PoolIndexOptions {
  readonly hosts: ObservableValue<readonly Host[] | undefined>;
  readonly assignments: Mirror<HostAssignment>;
  readonly records: Mirror<PoolRecord>;
}

interface Members {
  readonly listed: Map<string, Host>;
  readonly assigned: Map<string, HostAssignment>;
}

interface Index {
  readonly byHost: ReadonlyMap<string, HostAssignment>;
  readonly byPool: ReadonlyMap<string, Members>;
}

interface States {
  readonly members: Members;
  readonly record?: PoolRecord;
  readonly hosts: readonly PoolHost[];
}

const NO_MEMBERS: Members = {listed: new Map(), assigned: new Map()};

/** Creates an index over the host list, the assignments and the ledgers. */
export function createPoolIndex(options: PoolIndexOptions): PoolIndex {
  const {hosts, assignments, records} = options;
  const states = new Map<string, States>();
  let index: Index | undefined;
  hosts.onChange(() => (index = undefined));
  assignments.entries.onChange(() => (index = undefined));

  function getIndex(): Index {
    index ??= buildIndex(hosts.get() ?? [], assignments);
    return index;
  }

  function getMembers(pool: string): Members {
    return getIndex().byPool.get(pool) ?? NO_MEMBERS;
  }

  return {
    getPoolHosts(pool) {
      const members = getMembers(pool);
      const record = records.entries.get().get(`pools/${pool}`)?.value;
      const known = states.get(pool);
      if (known?.members === members && known.record === record) {
        return known.hosts;
      }
      const listed = listStates(members, record);
      states.set(pool, {members, record, hosts: listed});
      return listed;
    },
    getListed: pool => getMembers(pool).listed,
    getAssigned: pool => getMembers(pool).assigned,
    getAssignments: () => getIndex().byHost,
  };
}

function buildIndex(
  hosts: readonly Host[],
  assignments: Mirror<HostAssignment>,
): Index {
  const byHost = new Map<string, HostAssignment>();
  const byPool = new Map<string, Members>();
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

function listStates(
  members: Members,
  record: PoolRecord | undefined,
): readonly PoolHost[] {
  const entries = new Map(record?.unavailable.map(e => [e.hostId, e.state]));
  return [...members.listed.values()].map(host => {
    const fallback = host.leaving ? HostState.Leaving : HostState.Active;
    return {host, state: entries.get(host.id) ?? fallback};
  });
}
