import {
  HostRoom,
  LateReservation,
  PlacedTask,
  PlacementCandidate,
  Reservation,
  StartLimit,
  TaskPhase,
  TaskRecord,
  WorkflowRecord,
  createPlacement,
  createReservationWatch,
  createRunTimes,
  createOrganisationUsage,
  createStartLimit,
  createWorkflowRecord,
  getGroup,
  getSlackMs,
  getUrgency,
  releaseRoom,
  runPlacementPass,
} from '../../src/decisions/workflows';
import {Step, Workflow} from '../../src/types/workflow';
import {QUEUE, createStep} from './workflow_world';
import {throwError} from './strict_errors';

/** A workflow with one step that is submitted to a simulated pool. */
export interface SimulatedWork {
  readonly name: string;
  /** Time of its submission, in ms. */
  readonly at: number;
  readonly step: Partial<Step>;
  /** Actual run time of its tasks, in ms. */
  readonly runMs: number;
}

/** The start of a task. */
export interface SimulatedStart {
  readonly work: string;
  readonly task: string;
  readonly host: string;
  readonly rack: string;
  /** In ms. */
  readonly at: number;
  /** Time since the submission, in ms. */
  readonly waitedMs: number;
}

/** Settings of a simulated pool. */
export interface PassSimulationOptions {
  readonly hostCount: number;
  readonly hostsPerRack: number;
  readonly looksAhead: boolean;
  /** Names of hosts that take no tasks, by time in ms from which they do not. */
  readonly drainingFrom?: ReadonlyMap<string, number>;
  readonly limit?: StartLimit;
}

/** What happened in a simulated pool. */
export interface PassSimulation {
  readonly starts: readonly SimulatedStart[];
  /** The reservations of each pass, with its time in ms. */
  readonly reservations: readonly {
    readonly now: number;
    readonly list: readonly Reservation[];
  }[];
  /** Notices of reservations that keep slipping. */
  readonly late: readonly LateReservation[];
  /** Number of times that a pass looked at what runs on a host. */
  readonly looks: number;
}

/** Processors of each host, in thousandths. */
export const HOST_CPU_MILLIS = 16_000;
const HOST_MEMORY_MB = 65_536;
/** Interval between two passes, in ms. */
const TICK_MS = 20;

interface Run {
  readonly task: TaskRecord;
  readonly room: HostRoom;
  readonly endsAt: number;
  readonly runMs: number;
}

/**
 * Runs placement passes over a pool whose hosts report progress in each pass.
 *
 * @param options the pool
 * @param works submitted workflows, in any order
 * @param untilMs end of the simulation, in ms
 */
export function simulatePasses(
  {
    hostCount,
    hostsPerRack,
    looksAhead,
    drainingFrom = new Map(),
    limit,
  }: PassSimulationOptions,
  works: readonly SimulatedWork[],
  untilMs: number,
): PassSimulation {
  const runTimes = createRunTimes();
  const organisations = new Map();
  const usage = createOrganisationUsage();
  const rooms = Array.from({length: hostCount}, (_, index) =>
    createRoom(index, hostsPerRack),
  );
  const arrivals = [...works].sort((a, b) => a.at - b.at);
  const waiting: {record: WorkflowRecord; work: SimulatedWork}[] = [];
  const workOf = new Map<string, SimulatedWork>();
  const starts: SimulatedStart[] = [];
  const reservations: {now: number; list: readonly Reservation[]}[] = [];
  const late: LateReservation[] = [];
  const watch = createReservationWatch();
  let runs: Run[] = [];
  let looks = 0;
  let now = 0;

  function admit(work: SimulatedWork): void {
    const id = work.name;
    const workflow: Workflow = {
      id,
      queue: QUEUE.name,
      pool: QUEUE.pool,
      priority: 0,
      maxAttempts: 3,
      stretch: QUEUE.stretch,
      targetDurationMs: QUEUE.targetDurationMs,
      acceptedAt: work.at,
      spec: '',
      steps: [createStep({estimateMs: work.runMs, ...work.step})],
      occurrences: 1,
      firstAt: 0,
      intervalMs: 0,
    };
    const record = createWorkflowRecord(workflow, undefined, {}, now);
    waiting.push({record, work});
    workOf.set(id, work);
  }

  function listCandidates(): PlacementCandidate[] {
    return waiting.map(({record}) => {
      const {workflow} = record;
      const expectedMs = runTimes.estimate(workflow.queue, workflow.steps[0]);
      const urgency = getUrgency(
        workflow,
        record.acceptedAt,
        expectedMs,
        expectedMs,
        now,
      );
      return {
        record,
        urgency,
        slackMs: getSlackMs(urgency, expectedMs, now),
        groups: [getGroup(record, 0, 0)],
      };
    });
  }

  function endRuns(): void {
    for (const {task, room} of runs.filter(({endsAt}) => endsAt <= now)) {
      task.phase = TaskPhase.Done;
      room.starting.delete(task);
      releaseRoom(room, task.step, task.group);
    }
    runs = runs.filter(({endsAt}) => endsAt > now);
    for (const {task, room, runMs} of runs) {
      const {placement} = task;
      if (!placement) continue;
      room.starting.delete(task);
      placement.listed = true;
      placement.percent = ((now - placement.orderedAt) / runMs) * 100;
      placement.progressedAt = now;
    }
  }

  function start(_record: WorkflowRecord, placed: readonly PlacedTask[]): void {
    for (const {task, room} of placed) {
      const work = workOf.get(task.workflow.id);
      if (!work) continue;
      const {id, bornAt, address, rack} = room.host;
      task.run += 1;
      task.phase = TaskPhase.Placed;
      task.placement = createPlacement(id, bornAt, address, task.run, now);
      const {runMs} = work;
      runs.push({task, room, endsAt: now + runMs, runMs});
      starts.push({
        work: work.name,
        task: task.name,
        host: id,
        rack,
        at: now,
        waitedMs: now - work.at,
      });
    }
  }

  for (; now <= untilMs; now += TICK_MS) {
    endRuns();
    while (arrivals.length > 0 && arrivals[0].at <= now) {
      admit(arrivals.shift()!);
    }
    const kept = runPlacementPass(
      {
        pool: QUEUE.pool,
        now,
        rooms: rooms.filter(
          ({host}) => now < (drainingFrom.get(host.id) ?? Infinity),
        ),
        candidates: listCandidates(),
        runTimes,
        organisations,
        usage,
        listTasks: looksAhead
          ? room => {
              looks += 1;
              return runs
                .filter(run => run.room === room)
                .map(({task}) => task);
            }
          : undefined,
      },
      limit ?? createStartLimit({organisations, usage}),
      {
        getFilter: () => () => true,
        onUnplaced: () => {},
        onInvalid: throwError,
        start,
      },
    );
    late.push(...watch.review(QUEUE.pool, kept, now));
    reservations.push({now, list: kept.list()});
    for (let index = waiting.length - 1; index >= 0; index -= 1) {
      const group = getGroup(waiting[index].record, 0, 0);
      if (group.every(({phase}) => phase !== TaskPhase.Waiting)) {
        waiting.splice(index, 1);
      }
    }
  }
  return {starts, reservations, late, looks};
}

function createRoom(index: number, hostsPerRack: number): HostRoom {
  const capacity = {
    cpuMillis: HOST_CPU_MILLIS,
    memoryMb: HOST_MEMORY_MB,
    accelerators: 0,
  };
  return {
    host: {
      id: `host-${index + 1}`,
      bornAt: 1,
      pool: QUEUE.pool,
      address: '',
      availabilityZone: '',
      machine: `m-${index + 1}`,
      labels: [],
      rack: `rack-${Math.floor(index / hostsPerRack) + 1}`,
      capacity,
      draining: false,
      coldMs: 0,
    },
    free: {...capacity},
    groups: new Map(),
    starting: new Set(),
    serving: 0,
    filling: 0,
    degraded: false,
  };
}
