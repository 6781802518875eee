import {FleetView, createPoolIndex} from '../../src/actors/fleet';
import {KeyValue} from '../../src/stand_ins/platform';
import {Mirror, MirrorEntry, createObservableValue} from '../../src/state';
import {Host, HostAssignment, PoolRecord, Wave} from '../../src/types';

/** A member's view of the fleet as of its last refresh. */
export interface ModelView extends FleetView {
  /** Updates the view to the current state of the store and the host list. */
  refresh(): void;
}

interface ModelMirror<T> extends Mirror<T> {
  refresh(): void;
}

/**
 * Creates a view that is updated only by `refresh`, without store watches.
 *
 * @param keyValue the key-value service that the view reads
 * @param listHosts returns the current host list
 */
export function createModelView(
  keyValue: KeyValue,
  listHosts: () => readonly Host[],
): ModelView {
  const hosts = createObservableValue<readonly Host[] | undefined>(undefined);
  const assignments = createModelMirror<HostAssignment>(keyValue, 'hosts/');
  const records = createModelMirror<PoolRecord>(keyValue, 'pools/');
  const waves = createModelMirror<Wave>(keyValue, 'waves/');
  return {
    ...createPoolIndex({hosts, assignments, records}),
    hosts,
    assignments,
    records,
    waves,
    listWaves: () => [...waves.entries.get().values()].map(e => e.value),
    hasLeft: hostId => !hosts.get()?.some(({id}) => id === hostId),
    getRecord: pool => records.entries.get().get(`pools/${pool}`)?.value,
    isComplete: () => hosts.get() !== undefined,
    onChange: () => () => {},
    dispose: () => {},
    refresh() {
      hosts.set(listHosts());
      assignments.refresh();
      records.refresh();
      waves.refresh();
    },
  };
}

function createModelMirror<T>(
  keyValue: KeyValue,
  prefix: string,
): ModelMirror<T> {
  const entries = createObservableValue<ReadonlyMap<string, MirrorEntry<T>>>(
    new Map(),
  );
  return {
    entries,
    synced: createObservableValue(true),
    connected: createObservableValue(true),
    applyWrite(key, version, value) {
      const next = new Map(entries.get());
      if (value === undefined) next.delete(key);
      else next.set(key, {key, version, value});
      entries.set(next);
    },
    getAgeMs: () => 0,
    dispose: () => {},
    refresh() {
      const listed = keyValue.list(prefix).entries;
      entries.set(
        new Map(
          listed.map(({key, version, value}) => [
            key,
            {key, version, value: JSON.parse(value) as T},
          ]),
        ),
      );
    },
  };
}
