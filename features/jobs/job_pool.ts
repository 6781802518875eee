import {start, stop} from 'nact';
import {
  LeaseRenewer,
  JobApi,
  PoolJobsActor,
  PoolJobsOptions,
  createJobApi,
  createPoolJobsActor,
} from '../../src/actors/jobs';
import {PoolSlots, createPoolSlots} from '../../src/actors/slots';
import {JobHistory, toJobRun} from '../../src/history/jobs';
import {Store, Workers} from '../../src/ports';
import {
  CallKind,
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {createHost, createProfiles, findSite} from '../../src/stand_ins/site';
import {
  WorkerModel,
  createMemoryWorkers,
  createWorkerModel,
} from '../../src/stand_ins/worker';
import {createObservableValue} from '../../src/state';
import {LogLevel, Telemetry, createTelemetry} from '../../src/telemetry';
import {
  Configuration,
  Host,
  HostState,
  Job,
  PoolHost,
  Profile,
} from '../../src/types';
import {Gate, createGate, gateStore, gateWorkers} from './gated_ports';

/** A leader of the pool with its own fault injection. */
export interface JobLeader {
  readonly term: number;
  readonly gate: Gate;
  readonly telemetry: Telemetry;
  readonly slots: PoolSlots;
  readonly jobs: PoolJobsActor;
  dispose(): void;
  resign(): void;
}

/** Options that can differ between leaders. */
export interface LeaderOptions extends Partial<PoolJobsOptions> {
  /** Wraps the leader's access to the workers. */
  readonly wrapWorkers?: (workers: Workers) => Workers;
}

/** In-memory pool with its jobs, store, workers and leaders. */
export interface JobPool {
  readonly api: JobApi;
  readonly store: Store;
  readonly storeFaults: ReturnType<typeof createStoreFaults>;
  readonly workers: readonly WorkerModel[];
  readonly leaders: readonly JobLeader[];
  readonly hosts: Host[];
  readonly states: Map<string, HostState>;
  readonly telemetry: Telemetry;
  /** Returns the number of write calls to the store. */
  countWrites(): number;
  /** Starts a leader with the next term; earlier leaders keep running. */
  addLeader(options?: LeaderOptions): JobLeader;
  readJobs(): readonly Job[];
  readHistory(accepted: JobHistory['accepted']): JobHistory;
  dispose(): void;
}

/** Options of an in-memory pool. */
export interface JobPoolOptions {
  readonly workers: number;
  readonly slots: number;
  readonly profile?: Partial<Profile>;
  readonly host?: Partial<Host>;
}

const REBOOT_MS = 2_000;
export const POOL_NAME = 'dish-desk';

/** Creates an in-memory pool; the clock must be paused. */
export function createJobPool(options: JobPoolOptions): JobPool {
  const site = findSite('orbitica');
  const sitePool = site.pools.find(({name}) => name === POOL_NAME)!;
  const profile = {
    ...createProfiles(site).find(({pool}) => pool === POOL_NAME)!,
    ...options.profile,
  };
  const keyValue = createKeyValue();
  const storeFaults = createStoreFaults();
  let writes = 0;
  const store = createMemoryStore(keyValue, storeFaults, Math.random, kind => {
    if (kind === CallKind.Write) writes += 1;
  });
  const hosts = Array.from({length: options.workers}, (_, i) => ({
    ...createHost(site, sitePool, i, '127.0.0.1', 0),
    slots: options.slots,
    ...options.host,
  }));
  const models = hosts.map(host =>
    createWorkerModel({host, rebootMs: REBOOT_MS}),
  );
  const workers = createMemoryWorkers(
    new Map(models.map(model => [model.host.id, model])),
  );
  const states = new Map<string, HostState>();
  const telemetry = createTelemetry('caller', LogLevel.Error);
  const system = start();
  const leaders: JobLeader[] = [];
  const leaseRenewers: LeaseRenewer[] = [];
  const configuration = createObservableValue<Configuration | undefined>({
    revision: 1,
    profiles: [profile],
  } as unknown as Configuration);
  const getHosts = (): readonly PoolHost[] =>
    hosts.map(host => ({
      host,
      state: states.get(host.id) ?? HostState.Active,
    }));

  function addLeader(overrides: LeaderOptions = {}): JobLeader {
    const term = leaders.length + 1;
    const gate = createGate();
    const slots = overrides.slots ?? createPoolSlots(getHosts);
    const leaderTelemetry = createTelemetry(`leader-${term}`, LogLevel.Error);
    const jobs = createPoolJobsActor({
      system,
      store: gateStore(store, gate),
      workers: (overrides.wrapWorkers ?? (inner => inner))(
        gateWorkers(workers, gate),
      ),
      telemetry: leaderTelemetry,
      pool: POOL_NAME,
      term,
      getHosts,
      getProfile: () => profile,
      ...overrides,
      slots,
    });
    const leader: JobLeader = {
      term,
      gate,
      telemetry: leaderTelemetry,
      slots,
      jobs,
      dispose: jobs.dispose,
      resign: () => void leaseRenewers.push(jobs.resign()),
    };
    leaders.push(leader);
    return leader;
  }

  const readJobs = () =>
    keyValue
      .list(`jobs/${POOL_NAME}/`)
      .entries.map(entry => JSON.parse(entry.value) as Job);

  return {
    api: createJobApi({
      store,
      telemetry,
      configuration,
      getPoolHosts: getHosts,
    }),
    store,
    storeFaults,
    workers: models,
    leaders,
    hosts,
    states,
    telemetry,
    countWrites: () => writes,
    addLeader,
    readJobs,
    readHistory: accepted => ({
      accepted,
      records: readJobs(),
      runs: models.flatMap(({runs}) => runs.flatMap(r => toJobRun(r) ?? [])),
    }),
    dispose() {
      leaders.forEach(leader => leader.dispose());
      leaseRenewers.forEach(renewer => renewer.dispose());
      models.forEach(model => model.dispose());
      stop(system);
      keyValue.dispose();
    },
  };
}
