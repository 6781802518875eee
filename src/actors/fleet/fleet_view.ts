import {isDeepStrictEqual} from 'node:util';
import {MergedHostList, mergeHostList} from '../../decisions/fleet';
import {HostList, Store} from '../../ports';
import {
  Mirror,
  ObservableValue,
  createMirror,
  createObservableValue,
} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  Host,
  HostAssignment,
  PoolRecord,
  Wave,
} from '../../types';
import {createTicker} from '../shared';
import {PoolIndex, createPoolIndex} from './pool_index';

/** What every member knows of hosts, pools and waves. */
export interface FleetView extends PoolIndex {
  /** The host list as last believed; undefined until it has been read. */
  readonly hosts: ObservableValue<readonly Host[] | undefined>;
  readonly assignments: Mirror<HostAssignment>;
  readonly records: Mirror<PoolRecord>;
  readonly waves: Mirror<Wave>;
  /** Returns all waves. */
  listWaves(): readonly Wave[];
  /** Returns the record of a pool. */
  getRecord(pool: string): PoolRecord | undefined;
  /** True once the list has been read and every mirror is filled. */
  isComplete(): boolean;
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
  const hosts = createObservableValue<readonly Host[] | undefined>(undefined);
  const assignments = createMirror<HostAssignment>(store, 'hosts/');
  const records = createMirror<PoolRecord>(store, 'pools/');
  const waves = createMirror<Wave>(store, 'waves/');
  const index = createPoolIndex({hosts, assignments, records});
  let merged: MergedHostList | undefined;

  async function readHosts(): Promise<void> {
    const read = await hostList.read();
    if (read.isErr) {
      telemetry.log.debug('host list not read', {error: read.error});
      return;
    }
    const next = mergeHostList(merged, read.value, Date.now());
    noteImplausible(next, read.value.length);
    merged = next;
    if (isDeepStrictEqual(next.hosts, hosts.get())) return;
    hosts.set(next.hosts);
  }

  function noteImplausible(next: MergedHostList, read: number): void {
    if (!next.implausible || merged?.implausible) return;
    telemetry.recordDecision({
      kind: DecisionKind.Hold,
      subject: 'host-list',
      pool: '',
      cause: 'the host list lacks too many hosts at once to be believed',
      inputs: {known: next.hosts.length, read},
    });
  }

  const ticker = createTicker(HOST_LIST_MS, () => void readHosts());

  return {
    ...index,
    hosts,
    assignments,
    records,
    waves,
    listWaves: () => [...waves.entries.get().values()].map(e => e.value),
    getRecord: pool => records.entries.get().get(`pools/${pool}`)?.value,
    isComplete: () =>
      hosts.get() !== undefined &&
      assignments.synced.get() &&
      records.synced.get() &&
      waves.synced.get(),
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
