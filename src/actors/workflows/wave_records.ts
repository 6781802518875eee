import {MachineView, WaveView} from '../../decisions/workflows';
import {Store} from '../../ports';
import {Mirror} from '../../state';
import {Log} from '../../telemetry';
import {MachineState, MaintenanceWave} from '../../types/workflow';
import {LEADER_KEY, getWaveKey} from './keys';

/** How far the declared waves are, as the store keeps it for the next leader. */
export interface WaveRecords {
  /** Reads what an earlier leader did for waves that are new to this one. */
  load(): Promise<void>;
  /** Returns the waves that are not complete, once they were read. */
  listOpen(): readonly MaintenanceWave[];
  /** Tells whether a wave is declared that isn't complete. */
  hasOpen(): boolean;
  view(
    wave: MaintenanceWave,
    machines: ReadonlyMap<string, MachineView>,
    isOrdered: (machine: string) => boolean,
  ): WaveView;
  /** A machine's upkeep has begun, or never can. */
  noteServiced(wave: MaintenanceWave, machine: string): Promise<void>;
  /** Every machine that stays has begun its upkeep. */
  complete(wave: MaintenanceWave): Promise<void>;
}

/** What is stored of a wave. */
interface StoredWave {
  /** Unix time in ms at which a leader first saw it. */
  readonly startedAt: number;
  readonly serviced: readonly string[];
}

/**
 * Creates the records of a term.
 *
 * @param store the key-value service
 * @param fence the leader's term, on which each write depends
 * @param waves waves as the operator declares them
 * @param report tells the operator how far a wave is
 * @param log told of starts and ends
 */
export function createWaveRecords(
  store: Store,
  fence: number,
  waves: Mirror<MaintenanceWave>,
  report: (wave: number, complete: boolean) => Promise<boolean>,
  log: Log,
): WaveRecords {
  const serviced = new Map<number, Set<string>>();
  const startTimes = new Map<number, number>();
  const reported = new Set<number>();

  function listWaves(): readonly MaintenanceWave[] {
    return [...waves.entries.get().values()].map(({value}) => value);
  }

  async function write(number: number): Promise<void> {
    const record: StoredWave = {
      startedAt: startTimes.get(number) ?? Date.now(),
      serviced: [...(serviced.get(number) ?? [])],
    };
    const result = await store.transact({
      conditions: new Map([[LEADER_KEY, fence]]),
      puts: [{key: getWaveKey(number), value: JSON.stringify(record)}],
      removals: [],
    });
    if (result.isOk && result.value.applied) return;
    // The next leader orders the upkeep again, which the platform answers as done.
    log.warn('wave', {
      wave: number,
      decision: 'not stored',
      cause: result.isErr ? result.error : 'the term has ended',
    });
  }

  return {
    async load() {
      for (const {number} of listWaves()) {
        if (serviced.has(number)) continue;
        const found = await store.get(getWaveKey(number));
        if (found.isErr) return;
        const record = found.value
          ? (JSON.parse(found.value.value) as StoredWave)
          : {startedAt: Date.now(), serviced: []};
        serviced.set(number, new Set(record.serviced));
        startTimes.set(number, record.startedAt);
        if (found.value) continue;
        log.info('wave', {wave: number, decision: 'started'});
        void write(number);
        void report(number, false);
      }
    },
    listOpen: () =>
      listWaves().filter(
        ({number}) => serviced.has(number) && !reported.has(number),
      ),
    hasOpen: () => listWaves().some(({number}) => !reported.has(number)),
    view(wave, machines, isOrdered) {
      const {number} = wave;
      const endsAt = (startTimes.get(number) ?? 0) + wave.durationMs;
      return {
        number,
        machines: wave.machines,
        limit: wave.limit,
        remainingMs: endsAt - Date.now(),
        serviced: serviced.get(number) ?? new Set(),
        down: wave.machines.filter(
          id =>
            isOrdered(id) || machines.get(id)?.state === MachineState.Upkeep,
        ).length,
      };
    },
    async noteServiced({number}, machine) {
      serviced.get(number)?.add(machine);
      await write(number);
    },
    async complete({number}) {
      reported.add(number);
      log.info('wave', {wave: number, decision: 'completed'});
      if (!(await report(number, true))) reported.delete(number);
    },
  };
}
