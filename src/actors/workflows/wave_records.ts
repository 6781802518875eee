import {MachineView, WaveView} from '../../decisions/workflows';
import {Store, StoreEntry} from '../../ports';
import {Mirror} from '../../state';
import {Log} from '../../telemetry';
import {MachineState, MaintenanceWave} from '../../types/workflow';
import {getWaveKey} from './keys';
import {LeaderEntry, createLeaderEntry} from './leader_entry';
import {TermErrors} from './term_errors';
import {WaveStatus} from './wave_status';

/**
 * Tracks the progress of declared maintenance waves and stores it for the next
 * leader.
 */
export interface WaveRecords {
  /**
   * Loads the stored progress of waves that are not loaded yet and starts new
   * waves.
   */
  load(): Promise<void>;
  /** Returns the loaded waves that are not complete. */
  listOpen(): readonly MaintenanceWave[];
  /** Returns whether any declared wave is not complete. */
  hasOpen(): boolean;
  /** Returns a wave with its current progress, as input for planning. */
  view(
    wave: MaintenanceWave,
    machines: ReadonlyMap<string, MachineView>,
    isOrdered: (machine: string) => boolean,
    hasLeft: MachineDeparture,
  ): WaveView;
  /** Records that a machine's upkeep has begun. */
  recordServiced(wave: MaintenanceWave, machine: string): Promise<void>;
  /**
   * Reports a wave as complete: all of its machines that have not left have
   * begun their upkeep.
   *
   * @param progress the view that shows it
   * @param listAgeMs time in ms since the last machine list was requested
   */
  complete(progress: WaveView, listAgeMs: number): Promise<void>;
}

/**
 * Returns whether a machine has left the fleet.
 *
 * @param since monotonic time in ms from which it is looked for
 */
export type MachineDeparture = (machine: string, since: number) => boolean;

/** The declaration of a wave in the store. */
interface Declaration {
  readonly version: number;
  /** Monotonic time in ms at which this term first read it. */
  readonly readAt: number;
}

/** Stored progress of a wave. */
interface StoredWave {
  /** Unix time in ms at which a leader first saw the wave. */
  readonly startedAt: number;
  readonly serviced: readonly string[];
}

/**
 * Creates the records of a term.
 *
 * @param store the key-value store
 * @param fence the leader's fencing token, a condition of each write
 * @param waves mirror of the waves declared by the operator
 * @param createStatus returns the entry that tells the operator a wave's state
 * @param unixNow returns the current Unix time in ms
 * @param log receives starts and completions of waves
 * @param errors errors of the term; a wave whose progress cannot be read starts
 *     anew, which the platform confirms where upkeep has been done
 */
export function createWaveRecords(
  store: Store,
  fence: number,
  waves: Mirror<MaintenanceWave>,
  createStatus: WaveStatus,
  unixNow: () => number,
  log: Log,
  errors: TermErrors,
): WaveRecords {
  const serviced = new Map<number, Set<string>>();
  const startTimes = new Map<number, number>();
  /** Monotonic times in ms by which waves must be complete. */
  const endsAt = new Map<number, number>();
  const reported = new Set<number>();
  /** Waves whose start is still to be reported to the operator. */
  const unannounced = new Set<number>();
  /** Entries of this term in the store, by key. */
  const entries = new Map<string, LeaderEntry>();
  /** Declarations of waves as they were last read, by wave. */
  const declarations = new Map<number, Declaration>();

  function listWaves(): readonly MaintenanceWave[] {
    return [...waves.entries.get().values()].map(({value}) => value);
  }

  function readStored(entry: StoreEntry | undefined): StoredWave | undefined {
    if (!entry) return undefined;
    try {
      const {startedAt, serviced} = JSON.parse(entry.value) as StoredWave;
      return {startedAt, serviced: [...serviced]};
    } catch (error) {
      errors.ignore(entry.key, error);
      return undefined;
    }
  }

  function getEntry(key: string): LeaderEntry {
    const entry = entries.get(key) ?? createLeaderEntry(store, fence, key);
    entries.set(key, entry);
    return entry;
  }

  async function report(number: number, complete: boolean): Promise<boolean> {
    const {key, value} = createStatus(number, complete);
    return getEntry(key).write(() => value);
  }

  async function announce(number: number): Promise<void> {
    unannounced.delete(number);
    if (reported.has(number)) return;
    if (!(await report(number, false))) unannounced.add(number);
  }

  /**
   * Notes when each declaration was first read: its machines may be newer than
   * any machine list from before. One that has changed is not complete.
   */
  function readDeclarations(): void {
    for (const {value, version} of waves.entries.get().values()) {
      const {number} = value;
      if (declarations.get(number)?.version === version) continue;
      declarations.set(number, {version, readAt: performance.now()});
      if (reported.delete(number)) unannounced.add(number);
    }
  }

  async function write(number: number): Promise<void> {
    const readRecord = (): StoredWave => ({
      startedAt: startTimes.get(number) ?? unixNow(),
      serviced: [...(serviced.get(number) ?? [])],
    });
    const isStored = await getEntry(getWaveKey(number)).write(() =>
      JSON.stringify(readRecord()),
    );
    // If this write is lost, the next leader orders the upkeep again, which the
    // platform confirms as already done.
    if (!isStored) log.warn('wave', {wave: number, decision: 'not stored'});
  }

  return {
    async load() {
      readDeclarations();
      for (const number of [...unannounced]) {
        errors.run('wave', () => announce(number));
      }
      for (const wave of listWaves()) {
        const {number} = wave;
        if (serviced.has(number)) continue;
        const found = await store.get(getWaveKey(number));
        if (found.isErr) return;
        const record = readStored(found.value) ?? {
          startedAt: unixNow(),
          serviced: [],
        };
        getEntry(getWaveKey(number)).setVersion(found.value?.version ?? 0);
        serviced.set(number, new Set(record.serviced));
        startTimes.set(number, record.startedAt);
        // A clock that differs from the earlier leader's must not make the
        // wave look as if it began in the future or long ago.
        const {durationMs} = wave;
        const elapsedMs = unixNow() - record.startedAt;
        const endsInMs =
          durationMs - Math.min(Math.max(elapsedMs, 0), durationMs);
        endsAt.set(number, performance.now() + endsInMs);
        if (found.value) continue;
        log.info('wave', {wave: number, decision: 'started'});
        errors.run('wave', () => write(number));
        errors.run('wave', () => announce(number));
      }
    },
    listOpen: () =>
      listWaves().filter(
        ({number}) => serviced.has(number) && !reported.has(number),
      ),
    hasOpen: () => listWaves().some(({number}) => !reported.has(number)),
    view(wave, machines, isOrdered, hasLeft) {
      const {number} = wave;
      const done = serviced.get(number) ?? new Set();
      const since = declarations.get(number)?.readAt ?? performance.now();
      const gone = new Set(
        wave.machines.filter(id => !machines.has(id) && hasLeft(id, since)),
      );
      // A list may leave out a machine that is down for its upkeep.
      const isDown = (id: string) =>
        isOrdered(id) ||
        (machines.has(id)
          ? machines.get(id)?.state === MachineState.Maintenance
          : done.has(id) && !gone.has(id));
      return {
        number,
        machines: wave.machines,
        limit: wave.limit,
        remainingMs: (endsAt.get(number) ?? 0) - performance.now(),
        serviced: done,
        gone,
        down: wave.machines.filter(isDown).length,
      };
    },
    async recordServiced({number}, machine) {
      serviced.get(number)?.add(machine);
      await write(number);
    },
    async complete({number, serviced, gone}, listAgeMs) {
      reported.add(number);
      log.info('wave', {
        wave: number,
        decision: 'completed',
        serviced: serviced.size,
        gone: [...gone].filter(id => !serviced.has(id)).join(' '),
        listAgeMs: Math.round(listAgeMs),
      });
      if (!(await report(number, true))) reported.delete(number);
    },
  };
}
