import {
  MACHINE_ORDERS_KEY,
  SubmitOutcome,
  WorkflowDraft,
  getProgressKey,
  getStateKey,
  getWorkKey,
} from '../../src/actors/workflows';
import {Store} from '../../src/ports';
import {indexByKey} from '../../src/decisions/workflows';
import {
  RunViolation,
  RunViolationKind,
  checkRuns,
  isEndStored,
} from '../../src/history/workflows';
import {
  FLEET_REGISTRY_PREFIX,
  FleetEventKind,
  MemoryFleet,
  TaskBehaviour,
  createMemoryFleet,
} from '../../src/stand_ins/fleet';
import {
  KeyValue,
  StoreFaults,
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {createMirror, delay} from '../../src/state';
import {createLog, LogLevel} from '../../src/telemetry';
import {
  Caller,
  MaintenanceWave,
  Organisation,
  Queue,
  Step,
  TaskEnd,
  Workflow,
} from '../../src/types/workflow';
import {
  WorkflowEntryHost,
  createWorkflowEntryHost,
} from '../../src/wiring/workflow_entry';
import {advance, advanceUntil, settle} from '../support/paused_clock';

/** Faults of an entry host's calls. */
export interface CallFaults {
  /**
   * Called before and after each call, with its parameters; what it throws is
   * thrown by the call.
   */
  onCall: (call: string, parameters: readonly unknown[]) => void;
  /**
   * Time in ms by which the entry host reads each answer late, while its timers
   * go on, as if it got no processor time.
   */
  answerDelayMs: number;
}

/** An entry host of a test deployment. */
export interface TestMember {
  readonly id: string;
  readonly entry: WorkflowEntryHost;
  readonly faults: StoreFaults;
  /** Whether the entry host is cut off from the hosts and machines. */
  cutFromHosts: boolean;
  /** False once the entry host was killed. */
  alive: boolean;
  /**
   * Time in ms by which it learns late that an order for a machine is recorded;
   * meanwhile its other calls to the store fail. 0 for no pause.
   */
  pauseAfterRecordMs: number;
  /** Faults of the calls of its ports. */
  readonly callFaults: CallFaults;
  /** What failed at the entry host, as it has reported it. */
  readonly errors: readonly string[];
  /** Cause of each start after a run without a known end. */
  readonly restartCauses: readonly string[];
  /** Returns the number of its calls to the store. */
  countStoreCalls(): number;
}

/** Result of a submission. */
export interface Submitted {
  readonly id: string;
  readonly outcome: SubmitOutcome;
}

/** A small deployment that runs on the paused clock. */
export interface WorkflowWorld {
  readonly keyValue: KeyValue;
  readonly fleet: MemoryFleet;
  readonly members: TestMember[];
  /** Submitted workflows by id. */
  readonly workflows: Map<string, Workflow>;
  /** Monotonic time in ms of the answer to a cancellation, by workflow id. */
  readonly cancelledAt: Map<string, number>;
  /** Starts another entry host. */
  addMember(): TestMember;
  /**
   * Simulates a crash: cuts an entry host off from the store, the hosts and the
   * machines.
   */
  kill(member: TestMember): void;
  /** Returns the entry host that holds the leader key. */
  getLeader(): TestMember | undefined;
  /** Submits a workflow; `draft` replaces parts of a workflow with one task. */
  submit(
    member: TestMember,
    draft: Partial<WorkflowDraft>,
    id?: string,
    queue?: Queue,
    caller?: Caller,
  ): Promise<Submitted>;
  /** Returns the state of a workflow as a live entry host reports it. */
  readState(id: string): Promise<string | undefined>;
  cancel(member: TestMember, id: string): Promise<void>;
  /** Writes a configuration to the store. */
  configure(
    version: number,
    queues: readonly Queue[],
    organisations?: readonly Organisation[],
  ): void;
  /** Declares a maintenance wave in the store. */
  declareWave(wave: MaintenanceWave): void;
  /** Returns all reports of waves, as `number state`. */
  readWaveReports(): readonly string[];
  /** Checks the run history and returns its violations. */
  check(): readonly RunViolation[];
  dispose(): void;
}

/** Timings of the test deployment in ms. */
export const TIMES = {
  runLeaseMs: 6_000,
  maxLeaseMs: 10_000,
  authorityMs: 4_000,
  stopMs: 400,
  keepStateMs: 120_000,
  upkeepMs: 2_000,
  moveMs: 1_500,
  holderGapMs: 3_000,
  leaderLeaseMs: 1_250,
  cancelMs: 3_000,
  drainMs: 2_000,
  noticeMs: 4_500,
};

export const POOL = 'sky-lookup';
export const OTHER_POOL = 'dish-desk';
export const SPARE_POOL = 'backoffice';
export const QUEUE: Queue = {
  name: 'window-check',
  pool: POOL,
  authority: 'passes.example',
  prefix: '/windows/',
  priority: 0,
  isPublic: false,
  maxAttempts: 3,
  stretch: 1.6,
  targetDurationMs: 600,
  advice: undefined,
};

/** A queue whose steps may run only on hosts with a ticket. */
export const ADVISED_QUEUE: Queue = {
  ...QUEUE,
  name: 'licensed-check',
  prefix: '/licensed/',
  advice: {decideMs: 1, eachHostMs: 20, validMs: 5_000},
};

/** A caller without an organisation. */
export const ANYBODY: Caller = {organisation: undefined};

/** Version of the configuration that a deployment starts with. */
export const FIRST_VERSION = 4;
const CONFIGURATION_KEY = 'operator/configuration';
const WAVE_PREFIX = 'operator/waves/';
const WAVE_STATUS_PREFIX = 'operator/wave-status/';
const HOST_CPU_MILLIS = 16_000;
const HOST_MEMORY_MB = 32_768;

/** Returns a step with one task by default. */
export function createStep(change: Partial<Step> = {}): Step {
  return {
    taskCount: 1,
    cpuMillis: 1_000,
    memoryMb: 512,
    accelerators: 0,
    estimateMs: 500,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    label: '',
    dataRack: '',
    perHostLimit: 0,
    copies: false,
    lasting: false,
    image: '',
    tailTargetMs: 0,
    fills: false,
    mayMiss: undefined,
    ...change,
  };
}

/** Returns a spec that describes the simulated behaviour of tasks. */
export function createSpec(change: Partial<TaskBehaviour> = {}): string {
  return JSON.stringify({
    workMs: 500,
    cpuMillis: 1_000,
    memoryMb: 512,
    ...change,
  });
}

/**
 * Creates a deployment and waits until it has a leader.
 *
 * @param memberCount number of entry hosts
 * @param hostCount number of machines of the pool, each with a host
 * @param spareCount number of machines of the spare pool, which are off
 */
export async function createWorkflowWorld(
  memberCount: number,
  hostCount: number,
  spareCount = 0,
): Promise<WorkflowWorld> {
  const keyValue = createKeyValue();
  const random = () => Math.random();
  const fleet = createMemoryFleet({
    keyValue,
    cpuMillis: HOST_CPU_MILLIS,
    memoryMb: HOST_MEMORY_MB,
    maxLeaseMs: TIMES.maxLeaseMs,
    moveMs: TIMES.moveMs,
    upkeepMs: TIMES.upkeepMs,
    random,
    onDiscard: checkDiscarded,
  });
  const unstoredEnds: RunViolation[] = [];
  const members: TestMember[] = [];
  const workflows = new Map<string, Workflow>();
  const cancelledAt = new Map<string, number>();
  const cancelSentAt = new Map<string, number>();
  const queues = new Map<string, Queue>();
  const waveReports: string[] = [];
  const waveStatus = createMirror<string>(
    createMemoryStore(keyValue, createStoreFaults()),
    WAVE_STATUS_PREFIX,
  );
  waveStatus.entries.onChange(entries => {
    const [latest] = [...entries.values()].sort(
      (a, b) => b.version - a.version,
    );
    if (!latest) return;
    const number = latest.key.slice(WAVE_STATUS_PREFIX.length);
    waveReports.push(`${number} ${latest.value}`);
  });
  const pools = [
    {name: POOL, spare: false, guardsCapacity: true},
    {name: OTHER_POOL, spare: false, guardsCapacity: true},
    {name: SPARE_POOL, spare: true, guardsCapacity: true},
  ];
  let submissionCount = 0;
  configure(FIRST_VERSION, [QUEUE, ADVISED_QUEUE]);
  for (let index = 0; index < hostCount; index += 1) fleet.addMachine(POOL);
  for (let index = 0; index < spareCount; index += 1) {
    fleet.addMachine(SPARE_POOL, true);
  }

  function configure(
    version: number,
    queues: readonly Queue[],
    organisations: readonly Organisation[] = [],
  ): void {
    const configuration = {version, queues, pools, organisations};
    put(CONFIGURATION_KEY, JSON.stringify(configuration));
  }

  function put(key: string, value: string): void {
    const expectedVersion = keyValue.get(key)?.version ?? 0;
    keyValue.swap({key, expectedVersion, value});
  }

  function checkDiscarded(hostId: string, end: TaskEnd): void {
    const [id] = end.task.split('.');
    const isStored = isEndStored(end, {
      workflow: read(getWorkKey(id)),
      state: read(getStateKey(id)),
      progress: read(getProgressKey(id)),
    });
    if (isStored) return;
    const subject = `${end.task}/${end.run} on ${hostId}`;
    const at = performance.now();
    unstoredEnds.push({kind: RunViolationKind.NotStored, subject, at});
  }

  /** Returns undefined if the key does not exist or cannot be read. */
  function read<T>(key: string): T | undefined {
    try {
      return JSON.parse(keyValue.get(key)?.value ?? '') as T;
    } catch {
      return undefined;
    }
  }

  function addMember(): TestMember {
    const id = `entry-${members.length + 1}`;
    const faults = createStoreFaults();
    let storeCalls = 0;
    const errors: string[] = [];
    const restartCauses: string[] = [];
    const callFaults: CallFaults = {onCall: () => {}, answerDelayMs: 0};
    const hook = <P extends object>(port: P) => hookCalls(port, callFaults);
    const member: TestMember = {
      id,
      faults,
      cutFromHosts: false,
      alive: true,
      pauseAfterRecordMs: 0,
      callFaults,
      errors,
      restartCauses,
      countStoreCalls: () => storeCalls,
      entry: createWorkflowEntryHost({
        memberId: id,
        store: pauseAfterRecords(
          hook(
            createMemoryStore(keyValue, faults, random, () => {
              storeCalls += 1;
            }),
          ),
          () => member,
        ),
        hosts: hook(fleet.createTaskHosts(() => member.cutFromHosts)),
        advice: hook(fleet.createAdvice()),
        machines: hook(fleet.createMachines(() => member.cutFromHosts)),
        registry: {
          prefix: FLEET_REGISTRY_PREFIX,
          read: ({value}) => JSON.parse(value),
        },
        configuration: {
          prefix: CONFIGURATION_KEY,
          read({value}) {
            const stored = JSON.parse(value);
            return {
              ...stored,
              pools: indexByName(stored.pools),
              organisations: indexByName(stored.organisations),
              organisationsByKey: indexByKey(stored.organisations),
            };
          },
        },
        waves: {prefix: WAVE_PREFIX, read: ({value}) => JSON.parse(value)},
        createWaveStatus: (wave, complete) => ({
          key: `${WAVE_STATUS_PREFIX}${wave}`,
          value: JSON.stringify(complete ? 'completed' : 'running'),
        }),
        machineTimes: TIMES,
        processorShare: 1,
        looksAhead: true,
        leaderLeaseMs: TIMES.leaderLeaseMs,
        times: TIMES,
        log: createLog({member: id}, LogLevel.Warn),
        errors: {report: activity => void errors.push(activity)},
        onRunRestart: cause => void restartCauses.push(cause),
      }),
    };
    members.push(member);
    return member;
  }

  function getLeader(): TestMember | undefined {
    const entry = keyValue.get('live/leader');
    const id =
      entry && (JSON.parse(entry.value) as {memberId: string}).memberId;
    return members.find(member => member.id === id);
  }

  for (let index = 0; index < memberCount; index += 1) addMember();
  await advanceUntil(() => getLeader() !== undefined, 5_000);
  await advance(1_000);

  return {
    keyValue,
    fleet,
    members,
    workflows,
    cancelledAt,
    addMember,
    kill(member) {
      member.alive = false;
      member.faults.down = true;
      member.cutFromHosts = true;
    },
    getLeader,
    async submit(member, draft, givenId, queue = QUEUE, caller = ANYBODY) {
      submissionCount += 1;
      const id = givenId ?? submissionCount.toString(16).padStart(16, '0');
      const fullDraft: WorkflowDraft = {
        spec: createSpec(),
        steps: [createStep()],
        occurrences: 1,
        firstAt: 0,
        intervalMs: 0,
        ...draft,
      };
      queues.set(id, queue);
      workflows.set(id, {
        id,
        queue: queue.name,
        organisation: caller.organisation?.name,
        pool: queue.pool,
        priority: queue.priority,
        maxAttempts: queue.maxAttempts,
        stretch: queue.stretch,
        targetDurationMs: queue.targetDurationMs,
        acceptedAt: Date.now(),
        ...fullDraft,
      });
      const answer = await settle(
        member.entry.intake.submit(queue, id, fullDraft, caller),
      );
      return {id, outcome: answer.outcome};
    },
    async readState(id) {
      const member = members.find(each => each.alive && !each.faults.down);
      if (!member) return undefined;
      const queue = queues.get(id) ?? QUEUE;
      const state = await settle(
        member.entry.intake.readState(queue, id, ANYBODY),
      );
      return state.unwrapOr(undefined);
    },
    async cancel(member, id) {
      cancelSentAt.set(id, performance.now());
      await settle(member.entry.intake.cancel(QUEUE, id, ANYBODY));
      cancelledAt.set(id, performance.now());
    },
    configure,
    declareWave: wave =>
      put(`${WAVE_PREFIX}${wave.number}`, JSON.stringify(wave)),
    readWaveReports: () => waveReports,
    check: () => [
      ...unstoredEnds,
      ...checkRuns(fleet.events, {
        workflows,
        cancelledAt,
        cancelSentAt,
        cancelMs: TIMES.cancelMs,
        hosts: fleet.hosts,
        drainMs: TIMES.drainMs,
        noticeMs: TIMES.noticeMs,
        holderGapMs: TIMES.holderGapMs,
      }),
    ],
    dispose() {
      waveStatus.dispose();
      for (const member of members) void member.entry.dispose();
      keyValue.dispose();
    },
  };
}

/** Wraps a port whose calls may throw. */
function hookCalls<P extends object>(port: P, callFaults: CallFaults): P {
  const hooked = Object.entries(port).map(([name, call]) => [
    name,
    (...parameters: unknown[]) => {
      callFaults.onCall(name, parameters);
      const result = call(...parameters);
      if (!(result instanceof Promise)) return result;
      return result.then(async value => {
        callFaults.onCall(name, parameters);
        const {answerDelayMs} = callFaults;
        if (answerDelayMs > 0) await delay(answerDelayMs);
        return value;
      });
    },
  ]);
  return Object.fromEntries(hooked) as P;
}

/**
 * Wraps the store of an entry host that pauses between the record of a machine
 * order and the order itself.
 */
function pauseAfterRecords(store: Store, getMember: () => TestMember): Store {
  return {
    ...store,
    async transact(transaction) {
      const result = await store.transact(transaction);
      const isRecord = transaction.puts.some(
        ({key}) => key === MACHINE_ORDERS_KEY,
      );
      const {pauseAfterRecordMs, faults} = getMember();
      if (!isRecord || pauseAfterRecordMs === 0) return result;
      faults.down = true;
      await delay(pauseAfterRecordMs);
      faults.down = false;
      return result;
    },
  };
}

function indexByName<T extends {readonly name: string}>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map(item => [item.name, item]));
}

/** Returns the number of started runs of tasks whose name has a prefix. */
export function countStarts({fleet}: WorkflowWorld, idPrefix = ''): number {
  return fleet.events.filter(
    ({kind, task}) =>
      kind === FleetEventKind.Start && task.startsWith(idPrefix),
  ).length;
}
