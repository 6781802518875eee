import {ActorSystemRef} from 'nact';
import {chooseDrains} from '../../decisions/fleet';
import {Store, Workers} from '../../ports';
import {WriteOutcome, write} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  Host,
  HostAssignment,
  HostState,
  PoolRecord,
  Profile,
  Unavailability,
  Wave,
  WaveState,
} from '../../types';
import {createActor, createTicker} from '../shared';
import {FleetView} from './fleet_view';

/** The leader's keeper of one pool's hosts, budget ledger and drains. */
export interface PoolFleetActor {
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface PoolFleetOptions {
  readonly system: ActorSystemRef;
  readonly store: Store;
  readonly workers: Workers;
  readonly telemetry: Telemetry;
  readonly view: FleetView;
  readonly pool: string;
  /** Term under which this member leads the pool. */
  readonly term: number;
  /** Returns the pool's profile in force, if there is one. */
  readonly getProfile: () => Profile | undefined;
}

interface State {
  readonly record: PoolRecord;
  readonly version: number;
}

const REVIEW_MS = 250;

/** Creates the actor that drains and reboots the hosts of a led pool. */
export function createPoolFleetActor(
  options: PoolFleetOptions,
): PoolFleetActor {
  const {system, store, workers, telemetry, view, pool, term} = options;
  const key = `pools/${pool}`;

  const actor = createActor<State | undefined, 'review'>({
    system,
    name: `fleet-${pool}-${term}`,
    initial: undefined,
    log: telemetry.log,
    handle: async state => {
      const loaded = state ?? (await load());
      return loaded ? review(loaded) : undefined;
    },
  });

  async function load(): Promise<State | undefined> {
    const read = await store.get(key);
    if (read.isErr || !read.value) return undefined;
    const record = JSON.parse(read.value.value) as PoolRecord;
    if (record.term !== term) return undefined;
    return {record, version: read.value.version};
  }

  async function review(state: State): Promise<State | undefined> {
    await adoptHosts();
    const profile = options.getProfile();
    if (!profile) return state;
    let current: State | undefined = state;
    for (const entry of state.record.unavailable) {
      if (current) current = await advance(current, entry);
    }
    if (current) current = await startDrains(current, profile);
    await finishWaves();
    return current;
  }

  async function adoptHosts(): Promise<void> {
    if (!view.assignments.synced.get()) return;
    const assigned = view.getAssignments();
    for (const host of view.hosts.get() ?? []) {
      if (host.initialPool !== pool || assigned.has(host.id)) continue;
      await assign({
        hostId: host.id,
        pool,
        lastMaintainedAt: 0,
        completedWaves: [],
      });
    }
  }

  async function assign(
    assignment: HostAssignment,
    version = 0,
  ): Promise<boolean> {
    const hostKey = `hosts/${assignment.hostId}`;
    const written = await write(store, {
      key: hostKey,
      expectedVersion: version,
      value: JSON.stringify(assignment),
    });
    if (written.outcome !== WriteOutcome.Written) return false;
    view.assignments.accept(hostKey, written.version, assignment);
    return true;
  }

  async function save(
    state: State,
    unavailable: readonly Unavailability[],
  ): Promise<State | undefined> {
    const record = {...state.record, unavailable};
    const written = await write(store, {
      key,
      expectedVersion: state.version,
      value: JSON.stringify(record),
    });
    if (written.outcome !== WriteOutcome.Written) return undefined;
    view.records.accept(key, written.version, record);
    return {record, version: written.version};
  }

  async function startDrains(
    state: State,
    profile: Profile,
  ): Promise<State | undefined> {
    const drains = chooseDrains({
      profile,
      record: state.record,
      hosts: view.getPoolHosts(pool),
      assignments: view.getAssignments(),
      waves: [...view.waves.entries.get().values()].map(e => e.value),
    });
    if (drains.length === 0) return state;
    const added = drains.map(({hostId, waveId}) => ({
      hostId,
      waveId,
      state: HostState.Draining as const,
      since: Date.now(),
      cause: `wave ${waveId}`,
    }));
    const saved = await save(state, [...state.record.unavailable, ...added]);
    if (!saved) return undefined;
    for (const {hostId, waveId} of drains) {
      telemetry.decide({
        kind: DecisionKind.Drain,
        subject: hostId,
        pool,
        cause: `${hostId} is drained for wave ${waveId}`,
        inputs: {
          term,
          unavailable: saved.record.unavailable.length,
          budget: profile.maxUnavailable,
        },
      });
    }
    return saved;
  }

  async function advance(
    state: State,
    entry: Unavailability,
  ): Promise<State | undefined> {
    const host = view.hosts.get()?.find(h => h.id === entry.hostId);
    if (!host) return state;
    if (entry.state === HostState.Draining) return drain(state, entry, host);
    if (entry.state === HostState.Rebooting) return reboot(state, entry, host);
    return state;
  }

  async function drain(
    state: State,
    entry: Unavailability,
    host: Host,
  ): Promise<State | undefined> {
    await workers.setDraining(host, true);
    const report = await workers.report(host);
    if (report.isErr || !report.value.draining) return state;
    if (report.value.slotsUsed > 0) return state;
    const rebooting = {...entry, state: HostState.Rebooting as const};
    const saved = await save(state, replaceEntry(state, rebooting));
    if (!saved) return undefined;
    telemetry.decide({
      kind: DecisionKind.Reboot,
      subject: host.id,
      pool,
      cause: `${host.id} is empty and reboots`,
      inputs: {term},
    });
    await workers.reboot(host);
    return saved;
  }

  async function reboot(
    state: State,
    entry: Unavailability,
    host: Host,
  ): Promise<State | undefined> {
    const report = await workers.report(host);
    if (report.isErr) return state;
    if (report.value.draining) {
      await workers.reboot(host);
      return state;
    }
    if (!(await completeMaintenance(entry))) return state;
    const saved = await save(
      state,
      state.record.unavailable.filter(u => u.hostId !== host.id),
    );
    telemetry.decide({
      kind: DecisionKind.Return,
      subject: host.id,
      pool,
      cause: `${host.id} is back after maintenance`,
      inputs: {term, boot: report.value.bootNumber},
    });
    return saved;
  }

  async function completeMaintenance(entry: Unavailability): Promise<boolean> {
    const known = view.assignments.entries.get().get(`hosts/${entry.hostId}`);
    if (!known) return true;
    const waveIds = entry.waveId ? [entry.waveId] : [];
    return assign(
      {
        ...known.value,
        lastMaintainedAt: Date.now(),
        completedWaves: [...known.value.completedWaves, ...waveIds],
      },
      known.version,
    );
  }

  async function finishWaves(): Promise<void> {
    const hosts = view.hosts.get();
    if (!hosts || !view.assignments.synced.get()) return;
    const listed = new Set(hosts.map(host => host.id));
    const assigned = view.getAssignments();
    for (const {key: waveKey, version, value} of view.waves.entries
      .get()
      .values()) {
      if (value.state !== WaveState.Active) continue;
      if (!isComplete(value, listed, assigned)) continue;
      const done: Wave = {
        ...value,
        state: WaveState.Done,
        cause: 'every host has been through maintenance',
      };
      const written = await write(store, {
        key: waveKey,
        expectedVersion: version,
        value: JSON.stringify(done),
      });
      if (written.outcome !== WriteOutcome.Written) continue;
      view.waves.accept(waveKey, written.version, done);
    }
  }

  const ticker = createTicker(REVIEW_MS, () => actor.tell('review'));

  return {
    dispose() {
      ticker.dispose();
      actor.dispose();
    },
  };
}

function replaceEntry(
  state: State,
  entry: Unavailability,
): readonly Unavailability[] {
  return state.record.unavailable.map(known =>
    known.hostId === entry.hostId ? entry : known,
  );
}

function isComplete(
  wave: Wave,
  listed: ReadonlySet<string>,
  assigned: ReadonlyMap<string, HostAssignment>,
): boolean {
  return wave.hostIds.every(
    hostId =>
      !listed.has(hostId) ||
      assigned.get(hostId)?.completedWaves.includes(wave.id),
  );
}
