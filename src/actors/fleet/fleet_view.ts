import {isDeepStrictEqual} from 'node:util';
import {
  ABSENCE_GRACE_MS,
  MergedHostList,
  mergeHostList,
} from '../../decisions/fleet';
import {HostList, Store} from '../../ports';
import {
  Mirror,
  ObservableValue,
  createAbsenceTracker,
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

/** Local view of hosts, pools and maintenance waves, kept by every member. */
export interface FleetView extends PoolIndex {
  /** The last accepted host list; undefined until it has been read. */
  readonly hosts: ObservableValue<readonly Host[] | undefined>;
  readonly assignments: Mirror<HostAssignment>;
  readonly records: Mirror<PoolRecord>;
  readonly waves: Mirror<Wave>;
  /**
   * Returns all maintenance waves, including ended ones that are still stored.
   */
  listWaves(): readonly Wave[];
  /**
   * Returns whether a host of a wave has left the fleet: lists that were read
   * since this member has seen the wave lack it for the grace period.
   */
  hasLeft(hostId: string, waveId: string): boolean;
  /** Returns the record of a pool, or undefined if there is none. */
  getRecord(pool: string): PoolRecord | undefined;
  /** Whether the host list has been read and every mirror has synced. */
  isComplete(): boolean;
  /**
   * Calls a listener after any change, until the returned function is called.
   */
  onChange(listener: () => void): () => void;
  dispose(): void;
}

/** Dependencies of the fleet view. */
export interface FleetViewOptions {
  readonly store: Store;
  readonly hostList: HostList;
  readonly telemetry: Telemetry;
}

const HOST_LIST_INTERVAL_MS = 1_000;

/** Creates a fleet view that follows the host list and the store. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const {store, hostList, telemetry} = options;
  const hosts = createObservableValue<readonly Host[] | undefined>(undefined);
  const assignments = createMirror<HostAssignment>(store, 'hosts/');
  const records = createMirror<PoolRecord>(store, 'pools/');
  const waves = createMirror<Wave>(store, 'waves/');
  const index = createPoolIndex({hosts, assignments, records});
  const absences = createAbsenceTracker(ABSENCE_GRACE_MS);
  /** Monotonic times in ms at which waves were first seen, by key. */
  const wavesSeenAt = new Map<string, number>();
  let merged: MergedHostList | undefined;

  async function readHosts(): Promise<void> {
    const beganAt = performance.now();
    const read = await hostList.read();
    if (read.isErr) {
      telemetry.log.debug('host list not read', {error: read.error});
      return;
    }
    const next = mergeHostList(merged, read.value, Date.now());
    reportImplausibleList(next, read.value.length);
    merged = next;
    if (!next.implausible && read.value.length > 0) {
      absences.record(
        read.value.map(({id}) => id),
        beganAt,
      );
    }
    if (isDeepStrictEqual(next.hosts, hosts.get())) return;
    hosts.set(next.hosts);
  }

  function reportImplausibleList(next: MergedHostList, read: number): void {
    if (!next.implausible || merged?.implausible) return;
    telemetry.recordDecision({
      kind: DecisionKind.Hold,
      subject: 'host-list',
      pool: '',
      cause: 'host list rejected: too many hosts disappeared at once',
      inputs: {known: next.hosts.length, read},
    });
  }

  waves.entries.onChange(entries => {
    for (const key of wavesSeenAt.keys()) {
      if (!entries.has(key)) wavesSeenAt.delete(key);
    }
    for (const key of entries.keys()) {
      if (!wavesSeenAt.has(key)) wavesSeenAt.set(key, performance.now());
    }
  });
  const ticker = createTicker({
    intervalMs: HOST_LIST_INTERVAL_MS,
    activity: 'host-list',
    tick: readHosts,
    errors: telemetry.errors,
  });

  return {
    ...index,
    hosts,
    assignments,
    records,
    waves,
    listWaves: () => [...waves.entries.get().values()].map(e => e.value),
    hasLeft(hostId, waveId) {
      const seenAt = wavesSeenAt.get(`waves/${waveId}`);
      return seenAt !== undefined && absences.hasLeft(hostId, seenAt);
    },
    getRecord: pool => records.entries.get().get(`pools/${pool}`)?.value,
    isComplete: () =>
      hosts.get() !== undefined &&
      assignments.synced.get() &&
      records.synced.get() &&
      waves.synced.get(),
    onChange(listener) {
      const unsubscribers = [
        hosts.onChange(listener),
        assignments.entries.onChange(listener),
        records.entries.onChange(listener),
        waves.entries.onChange(listener),
      ];
      return () => unsubscribers.forEach(stop => stop());
    },
    dispose() {
      ticker.dispose();
      assignments.dispose();
      records.dispose();
      waves.dispose();
    },
  };
}
