import {HostList, Store} from '../../ports';
import {Mirror, Snapshot, createMirror, createSnapshot} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Host,
  HostAssignment,
  HostState,
  PoolHost,
  PoolRecord,
  Wave,
} from '../../types';
import {createTicker} from '../shared';

/** What every member knows of hosts, pools and waves. */
export interface FleetView {
  /** The host list as last read; undefined until it has been. */
  readonly hosts: Snapshot<readonly Host[] | undefined>;
  readonly assignments: Mirror<HostAssignment>;
  readonly records: Mirror<PoolRecord>;
  readonly waves: Mirror<Wave>;
  /** Returns a pool's hosts with their states, sorted by id. */
  getPoolHosts(pool: string): readonly PoolHost[];
  /** Returns the assignments by host id. */
  getAssignments(): ReadonlyMap<string, HostAssignment>;
  /** Calls a listener after any change. */
  onChange(listener: () => void): () => void;
  dispose(): void;
}

/** Where the view gets what it needs. */
export interface FleetViewOptions {
  readonly store: Store;
  readonly hostList: HostList;
  readonly telemetry: Telemetry;
}

const HOST_LIST_MS = 1_000;

/** Creates the view of the fleet that every member keeps. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const {store, hostList, telemetry} = options;
  const hosts = createSnapshot<readonly Host[] | undefined>(undefined);
  const assignments = createMirror<HostAssignment>(store, 'hosts/');
  const records = createMirror<PoolRecord>(store, 'pools/');
  const waves = createMirror<Wave>(store, 'waves/');

  async function readHosts(): Promise<void> {
    const read = await hostList.read();
    if (read.isErr) {
      telemetry.log.debug('host list not read', {error: read.error});
      return;
    }
    const sorted = [...read.value].sort((a, b) => a.id.localeCompare(b.id));
    if (JSON.stringify(sorted) === JSON.stringify(hosts.get())) return;
    hosts.set(sorted);
  }

  function getAssignments(): ReadonlyMap<string, HostAssignment> {
    const values = [...assignments.entries.get().values()];
    return new Map(values.map(({value}) => [value.hostId, value]));
  }

  function stateOf(host: Host, record: PoolRecord | undefined): HostState {
    const entry = record?.unavailable.find(u => u.hostId === host.id);
    if (entry) return entry.state;
    return host.leaving ? HostState.Leaving : HostState.Active;
  }

  const ticker = createTicker(HOST_LIST_MS, () => void readHosts());

  return {
    hosts,
    assignments,
    records,
    waves,
    getAssignments,
    getPoolHosts(pool) {
      const assigned = assignments.entries.get();
      const record = records.entries.get().get(`pools/${pool}`)?.value;
      return (hosts.get() ?? [])
        .filter(host => assigned.get(`hosts/${host.id}`)?.value.pool === pool)
        .map(host => ({host, state: stateOf(host, record)}));
    },
    onChange(listener) {
      const stops = [
        hosts.onChange(listener),
        assignments.entries.onChange(listener),
        records.entries.onChange(listener),
        waves.entries.onChange(listener),
      ];
      return () => stops.forEach(stop => stop());
    },
    dispose() {
      ticker.dispose();
      assignments.dispose();
      records.dispose();
      waves.dispose();
    },
  };
}
