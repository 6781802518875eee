import {
  Coordinator,
  CoordinatorTimes,
  Intake,
  LEADER_KEY,
  LIVE_PREFIX,
  LOAD_KEY,
  MachineKeeper,
  MachineTimes,
  createCoordinator,
  createIntake,
  createLeadership,
  createMachineKeeper,
} from '../actors/workflows';
import {LoadReport} from '../decisions/workflows';
import {Store, StoreEntry} from '../ports';
import {Machines, PlacementAdvice, TaskHosts} from '../ports/hosts';
import {Mirror, createMirror} from '../state';
import {Log, PoolGauge} from '../telemetry';
import {FleetConfiguration, MaintenanceWave, TaskHost} from '../types/workflow';

/** Ports and settings of an entry host that runs workflows. */
export interface WorkflowEntryOptions {
  readonly memberId: string;
  readonly store: Store;
  readonly hosts: TaskHosts;
  /** Where hosts register themselves, and how their entries are read. */
  readonly registry: KeyReader<TaskHost>;
  /** Where the operator's configuration lies, and how it is read. */
  readonly configuration: KeyReader<FleetConfiguration>;
  readonly advice: PlacementAdvice;
  readonly machines: Machines;
  /** Where the operator declares waves, and how they are read. */
  readonly waves: KeyReader<MaintenanceWave>;
  /** Tells the operator how far a wave is; false if it could not be told. */
  readonly reportWave: (wave: number, complete: boolean) => Promise<boolean>;
  readonly machineTimes: MachineTimes;
  /** Length of the leader's lease in ms. */
  readonly leaderLeaseMs: number;
  /** Share of a processor that the entry host has: strong ones lead if they can. */
  readonly processorShare: number;
  readonly times: CoordinatorTimes;
  readonly log: Log;
}

/** Reads what others write under a prefix of the store. */
export interface KeyReader<T> {
  readonly prefix: string;
  read(entry: StoreEntry): T | undefined;
}

/** An entry host's part in running workflows. */
export interface WorkflowEntry {
  readonly intake: Intake;
  /** Returns the newest configuration that was seen; undefined before the first. */
  getConfiguration(): FleetConfiguration | undefined;
  /** Tells whether callers can be served. */
  isReady(): boolean;
  /** Returns work and room of the pools that this entry host leads. */
  readPools(): readonly PoolGauge[];
  /** Gives up leadership and stops. */
  dispose(): Promise<void>;
}

/** Longest wait of a watch in ms, so that a silent connection costs no more. */
const WATCH_WAIT_MS = 1_200;
/** Least time between two reads of progress in ms: as old as a caller's answer may be. */
const LIVE_MIN_INTERVAL_MS = 80;
/** Least time between two reads of the registry in ms, well below the time to notice a host that leaves. */
const REGISTRY_MIN_INTERVAL_MS = 250;
/** Share of a processor that leading a few hundred hosts takes at the least, see docs/CAPACITY.md. */
const MIN_LEADER_PROCESSOR_SHARE = 0.5;
/** Time in ms that a weaker entry host waits before it stands: several tries of a stronger one. */
const WEAK_CANDIDATE_DELAY_MS = 500;
/** Wait after a failed read in ms. */
const RETRY_MS = 200;

/**
 * Puts together an entry host that runs workflows.
 *
 * @param options ports and settings
 */
export function createWorkflowEntry({
  memberId,
  store,
  hosts,
  registry: registryKeys,
  configuration: configurationKeys,
  advice,
  machines,
  waves: waveKeys,
  reportWave,
  machineTimes,
  leaderLeaseMs,
  processorShare,
  times,
  log,
}: WorkflowEntryOptions): WorkflowEntry {
  let latest: FleetConfiguration | undefined;
  let coordinator: Coordinator | undefined;
  let machineController: MachineKeeper | undefined;
  /** What only the leader follows. */
  let leaderMirrors: readonly Mirror<unknown>[] = [];
  const mirrorOptions = {waitMs: WATCH_WAIT_MS, retryMs: RETRY_MS};
  const configuration = createMirror<FleetConfiguration>(
    store,
    configurationKeys.prefix,
    {...mirrorOptions, decode: entry => configurationKeys.read(entry)},
  );
  const live = createMirror<unknown>(store, LIVE_PREFIX, {
    ...mirrorOptions,
    paceMs: LIVE_MIN_INTERVAL_MS,
  });
  const leadership = createLeadership({
    store,
    memberId,
    leaseMs: leaderLeaseMs,
    standDelayMs: processorShare < MIN_LEADER_PROCESSOR_SHARE ? WEAK_CANDIDATE_DELAY_MS : 0,
    log,
    onElected(term) {
      const registry = createMirror<TaskHost>(store, registryKeys.prefix, {
        ...mirrorOptions,
        paceMs: REGISTRY_MIN_INTERVAL_MS,
        decode: entry => registryKeys.read(entry),
      });
      const waves = createMirror<MaintenanceWave>(store, waveKeys.prefix, {
        ...mirrorOptions,
        decode: entry => waveKeys.read(entry),
      });
      leaderMirrors = [registry, waves];
      coordinator = createCoordinator({
        store,
        hosts,
        advice,
        term,
        times,
        live,
        registry,
        log,
        onFenced: cause => leadership.resign(cause),
      });
      machineController = createMachineKeeper({
        store,
        machines,
        waves,
        coordinator,
        holder: {holder: `${memberId}/${term.fence}`, fence: term.fence},
        getTermAgeMs: () => term.getAgeMs(),
        getConfiguration: () => latest,
        times: machineTimes,
        reportWave,
        log,
      });
    },
    onDeposed() {
      machineController?.dispose();
      coordinator?.dispose();
      for (const mirror of leaderMirrors) mirror.dispose();
      coordinator = undefined;
    },
  });

  configuration.entries.onChange(entries => {
    for (const {value} of entries.values()) {
      if (latest && value.version <= latest.version) continue;
      latest = value;
      log.info('configuration', {
        decision: 'in force',
        version: value.version,
        queues: value.queues.length,
      });
    }
  });
  live.entries.onChange(entries => {
    leadership.observe(entries.get(LEADER_KEY)?.version ?? 0);
  });
  live.connected.onChange(connected => {
    if (connected) log.info('store regained');
    else log.warn('store lost');
  });

  const intake = createIntake({
    store,
    live,
    getLoad: () =>
      live.entries.get().get(LOAD_KEY)?.value as LoadReport | undefined,
    log,
  });

  return {
    intake,
    getConfiguration: () => latest,
    isReady: () =>
      latest !== undefined && live.synced.get() && live.connected.get(),
    readPools: () => coordinator?.readPools() ?? [],
    async dispose() {
      await leadership.dispose();
      for (const mirror of [configuration, live]) mirror.dispose();
    },
  };
}
