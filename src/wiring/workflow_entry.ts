import {Result} from 'true-myth';
import {
  Coordinator,
  CoordinatorTimes,
  Intake,
  LEADER_KEY,
  LOAD_KEY,
  MachineManager,
  MachineTimes,
  NO_ORDER_SIGHTINGS,
  WATCHED_PREFIX,
  WaveStatus,
  createCoordinator,
  createIntake,
  createInvalidEntries,
  createLeadership,
  createMachineManager,
  createOrderSightings,
  createTermErrors,
  createTermFailures,
} from '../actors/workflows';
import {LoadReport, OrganisationGauge} from '../decisions/workflows';
import {Store, StoreEntry, StoreFailure} from '../ports';
import {
  AdviceFailure,
  HostCallFailure,
  MachineOrderFailure,
  Machines,
  PlacementAdvisor,
  TaskHosts,
} from '../ports/hosts';
import {Mirror, createMirror, createUnixClock, waitUntil} from '../state';
import {Log, PoolGauge, UnexpectedErrors} from '../telemetry';
import {FleetConfiguration, MaintenanceWave, TaskHost} from '../types/workflow';
import {guardPort} from './guard_port';

/** Ports and settings of an entry host that runs workflows. */
export interface WorkflowEntryHostOptions {
  readonly memberId: string;
  readonly store: Store;
  readonly hosts: TaskHosts;
  /** Prefix and parser of the hosts' registrations. */
  readonly registry: KeyReader<TaskHost>;
  /** Prefix and parser of the operator's configuration. */
  readonly configuration: KeyReader<FleetConfiguration>;
  readonly advice: PlacementAdvisor;
  readonly machines: Machines;
  /** Prefix and parser of the maintenance waves that the operator declares. */
  readonly waves: KeyReader<MaintenanceWave>;
  /** Returns the entry in which the operator reads the state of a wave. */
  readonly createWaveStatus: WaveStatus;
  readonly machineTimes: MachineTimes;
  /** Length of the leader's lease in ms. */
  readonly leaderLeaseMs: number;
  /**
   * Share of one processor that the entry host may use; entry hosts with a
   * larger share are preferred as leaders.
   */
  readonly processorShare: number;
  /** Whether room is kept for large work that does not fit yet. */
  readonly looksAhead: boolean;
  readonly times: CoordinatorTimes;
  readonly log: Log;
  readonly errors: UnexpectedErrors;
  /**
   * Called with the cause when a task is started of which an earlier run was
   * given up; from a small fixed set.
   */
  readonly onRunRestart: (cause: string) => void;
}

/**
 * A prefix of the store whose entries other programs write, with a parser for
 * them.
 */
export interface KeyReader<T> {
  readonly prefix: string;
  /**
   * Parses an entry; returns undefined if it is of another kind.
   *
   * @throws Error if it is invalid
   */
  read(entry: StoreEntry): T | undefined;
}

/**
 * An entry host that accepts workflows and, while it is the leader, runs them.
 */
export interface WorkflowEntryHost {
  readonly intake: Intake;
  /**
   * Returns the latest known configuration; undefined before the first has been
   * read.
   */
  getConfiguration(): FleetConfiguration | undefined;
  /** Returns the time in ms since the store last confirmed the configuration. */
  getConfigurationAgeMs(): number;
  /**
   * Waits until the store answers for the configuration, for the given time in
   * ms at most; resolves to whether it does.
   */
  whenConfigurationConfirmed(timeoutMs: number): Promise<boolean>;
  /** Whether callers can be served. */
  isReady(): boolean;
  /**
   * Returns the load and free capacity of the pools; empty unless this entry
   * host is the leader.
   */
  readPools(): readonly PoolGauge[];
  /**
   * Returns the load of the largest and the worst served organisations; empty
   * unless this entry host is the leader.
   */
  readOrganisations(): readonly OrganisationGauge[];
  /**
   * Ends the current term, if this entry host is the leader, after an error
   * that no call handled and that the caller has reported. Repeated errors do
   * not end further terms.
   */
  handleUnexpectedError(error: unknown): void;
  /** Gives up leadership and stops. */
  dispose(): Promise<void>;
}

/**
 * Maximum wait of a watch in ms; bounds the delay that a silently broken
 * connection causes.
 */
const WATCH_WAIT_MS = 1_200;
/**
 * Minimum time between two reads of the registry in ms; well below the time
 * within which a leaving host must be detected.
 */
const REGISTRY_MIN_INTERVAL_MS = 250;
/**
 * Minimum share of a processor needed to lead a few hundred hosts; see
 * docs/CAPACITY.md.
 */
const MIN_LEADER_PROCESSOR_SHARE = 0.5;
/**
 * Time in ms that an entry host with a smaller share waits before it stands for
 * election; long enough for several attempts by one with a larger share.
 */
const WEAK_CANDIDATE_DELAY_MS = 500;
/** Delay after a failed call to the store, in ms. */
const RETRY_MS = 200;

/**
 * Creates and starts an entry host that runs workflows.
 *
 * @param options ports and settings
 */
export function createWorkflowEntryHost({
  memberId,
  store: storePort,
  hosts: hostsPort,
  registry: registryKeys,
  configuration: configurationKeys,
  advice: advicePort,
  machines: machinesPort,
  waves: waveKeys,
  createWaveStatus,
  machineTimes,
  leaderLeaseMs,
  processorShare,
  looksAhead,
  times,
  log,
  errors,
  onRunRestart,
}: WorkflowEntryHostOptions): WorkflowEntryHost {
  const store = guardPort(
    storePort,
    'store call',
    Result.err(StoreFailure.AnswerLost),
    errors,
  );
  const hosts = guardPort(
    hostsPort,
    'host call',
    Result.err(HostCallFailure.NoAnswer),
    errors,
  );
  const advice = guardPort(
    advicePort,
    'advice call',
    Result.err(AdviceFailure.NoAnswer),
    errors,
  );
  const machines = guardPort(
    machinesPort,
    'machine call',
    Result.err(MachineOrderFailure.NoAnswer),
    errors,
  );
  const invalidEntries = createInvalidEntries(log);
  const termFailures = createTermFailures();
  const clock = createUnixClock(({stepMs}) =>
    log.warn('clock step', {stepMs, decision: 'ignored for now'}),
  );
  const unixNow = () => clock.now();
  let latest: FleetConfiguration | undefined;
  let coordinator: Coordinator | undefined;
  let machineManager: MachineManager | undefined;
  /** Revision of the last load report, and the monotonic time in ms of it. */
  let loadVersion = 0;
  let loadSeenAt = 0;
  /** Mirrors that exist only while this entry host is the leader. */
  let leaderMirrors: readonly Mirror<unknown>[] = [];
  const onWatchError = (error: unknown) => errors.report('store watch', error);
  const mirrorOptions = {
    waitMs: WATCH_WAIT_MS,
    retryMs: RETRY_MS,
    onInvalid: invalidEntries.report,
    onError: onWatchError,
  };
  const configuration = createMirror<FleetConfiguration>(
    store,
    configurationKeys.prefix,
    {...mirrorOptions, decode: entry => configurationKeys.read(entry)},
  );
  const watched = createMirror<unknown>(store, WATCHED_PREFIX, mirrorOptions);
  const isStrong = processorShare >= MIN_LEADER_PROCESSOR_SHARE;
  const orderSightings = isStrong
    ? createOrderSightings(store, WATCH_WAIT_MS, RETRY_MS, onWatchError)
    : NO_ORDER_SIGHTINGS;
  const leadership = createLeadership({
    store,
    memberId,
    leaseMs: leaderLeaseMs,
    campaignDelayMs: isStrong ? 0 : WEAK_CANDIDATE_DELAY_MS,
    log,
    errors,
    onElected(term) {
      const termErrors = createTermErrors(
        errors,
        invalidEntries,
        termFailures,
        cause => term.fail(cause),
      );
      const registry = createMirror<TaskHost>(store, registryKeys.prefix, {
        ...mirrorOptions,
        minIntervalMs: REGISTRY_MIN_INTERVAL_MS,
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
        registry,
        getOrganisations: () => latest?.organisations,
        isPool: name => latest?.pools.has(name) ?? true,
        looksAhead,
        unixNow,
        log,
        errors: termErrors,
        onRunRestart,
        onFenced: cause => leadership.resign(cause),
      });
      machineManager = createMachineManager({
        store,
        machines,
        waves,
        coordinator,
        orderSightings,
        holder: {holder: `${memberId}/${term.fence}`, fence: term.fence},
        getTermAgeMs: () => term.getAgeMs(),
        getConfiguration: () => latest,
        unixNow,
        times: machineTimes,
        createWaveStatus,
        log,
        errors: termErrors,
      });
    },
    onDeposed() {
      machineManager?.dispose();
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
        organisations: value.organisations.size,
        keys: value.organisationsByKey.size,
      });
    }
  });
  configuration.connected.onChange(connected => {
    const version = latest?.version;
    if (connected) log.info('configuration feed regained', {version});
    else log.warn('configuration feed lost', {version});
  });
  watched.entries.onChange(entries => {
    leadership.observe(entries.get(LEADER_KEY)?.version ?? 0);
    const version = entries.get(LOAD_KEY)?.version ?? 0;
    if (version === loadVersion) return;
    loadVersion = version;
    loadSeenAt = performance.now();
  });
  watched.connected.onChange(connected => {
    if (connected) log.info('store regained');
    else log.warn('store lost');
  });

  const intake = createIntake({
    store,
    whenConnected: timeoutMs =>
      waitUntil(watched.connected, connected => connected, timeoutMs),
    getLoad: () =>
      watched.entries.get().get(LOAD_KEY)?.value as LoadReport | undefined,
    getLoadAgeMs: () => performance.now() - loadSeenAt,
    unixNow,
    log,
  });

  return {
    intake,
    getConfiguration: () => latest,
    getConfigurationAgeMs: () => configuration.getAgeMs(),
    whenConfigurationConfirmed: timeoutMs =>
      waitUntil(configuration.connected, connected => connected, timeoutMs),
    isReady: () =>
      latest !== undefined && watched.synced.get() && watched.connected.get(),
    readPools: () => coordinator?.readPools() ?? [],
    readOrganisations: () => coordinator?.readOrganisations() ?? [],
    handleUnexpectedError(error) {
      if (!coordinator || !termFailures.recordFirst('process')) return;
      leadership.fail(`unexpected error: ${String(error)}`);
    },
    async dispose() {
      await leadership.dispose();
      for (const mirror of [configuration, watched]) mirror.dispose();
      orderSightings.dispose();
    },
  };
}
