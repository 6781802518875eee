import {
  HoldRequest,
  HoldReport,
  HostAnswer,
  HostRefusal,
  RunOrder,
  StartOrder,
} from '../../ports/hosts';
import {
  Capacity,
  RunningTask,
  TaskEnd,
  TaskEndKind,
  TaskHost,
} from '../../types/workflow';
import {FleetEventKind, RecordFleetEvent} from './fleet_event';
import {GangMember, Gangs} from './gangs';

/**
 * Simulated behaviour of a workflow's tasks on a stand-in host, encoded as JSON
 * in the workflow's spec.
 */
export interface TaskBehaviour {
  /** Run time of a task in ms. */
  readonly workMs: number;
  /** Thousandths of a processor that a task uses. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** The task runs until it is stopped. */
  readonly lasting?: boolean;
  /** Time in ms from the start of a lasting task until it serves; 0 by default. */
  readonly startupMs?: number;
  /** Number of runs of each task that fail before one succeeds. */
  readonly failures?: number;
  /** The task is a filler: it does not count against the host's processors. */
  readonly fills?: boolean;
  /**
   * Tail latency in ms of a serving task next to a filler at full pace; the
   * task has none without a filler.
   */
  readonly tailMs?: number;
  /** A start requires a ticket of the advice service. */
  readonly ticket?: boolean;
  /** The task crashes each host that starts it. */
  readonly crashesHost?: boolean;
  /** Number of members of the task's gang; 0 if it has none. */
  readonly gangSize?: number;
}

/** Faults of a host, which tests may change at any time. */
export interface TaskHostFaults {
  /** Runs that start while this is set fail when their work time has passed. */
  failing: boolean;
  /** Runs that start while this is set make no progress and never end. */
  hanging: boolean;
  /** Factor by which the work time of newly started runs is multiplied. */
  slowness: number;
  /** The host accepts starts that exceed its capacity. */
  ignoresCapacity: boolean;
  /** Time in ms from a stop order to the end of the run. */
  stopMs: number;
}

/**
 * One incarnation of a stand-in host that runs tasks, without any transport.
 */
export interface TaskHostModel {
  readonly host: TaskHost;
  readonly faults: TaskHostFaults;
  start(order: StartOrder): HostAnswer;
  /** Stops a run; `isLate` is set if the order was held up on its way. */
  stop(order: RunOrder, isLate?: boolean): HostAnswer;
  pace(order: RunOrder, percent: number): HostAnswer;
  /** Answers a hold call; `seenOn` is not looked at. */
  hold(request: HoldRequest): Promise<HoldReport>;
  /** Returns the current runs as a hold call reports them. */
  listRunning(): readonly RunningTask[];
  /**
   * Sets every run to full pace, as if the orders to throttle them had been
   * lost.
   */
  resetPaces(): void;
  /** Returns the current runs as `task/run`. */
  listRuns(): readonly string[];
  /** Ends the incarnation and all its runs without reporting their ends. */
  kill(): void;
}

interface Run {
  readonly task: string;
  readonly run: number;
  readonly behaviour: TaskBehaviour;
  readonly startedAt: number;
  readonly fails: boolean;
  /** Time in ms that its work takes on this host. */
  readonly workMs: number;
  /** The run makes no progress and never ends. */
  readonly stalled: boolean;
  /** Pace in percent of full speed. */
  pace: number;
  timer: NodeJS.Timeout | undefined;
  /** Ends the other members of its gang; `done` is whether it succeeded. */
  leaveGang: (done: boolean) => void;
}

/** Default time in ms from a stop order to the end of the run. */
const STOP_MS = 100;
/** Time in ms from the start of a task that crashes its host to the crash. */
const CRASH_DELAY_MS = 10;

/**
 * Creates one incarnation of a host.
 *
 * @param host the registered data of the host
 * @param maxLeaseMs maximum length of the lease on its runs in ms
 * @param record called with every event
 * @param gangs gangs of the whole fleet
 * @param crash ends the host without notice
 * @param onDiscard called with each end that is discarded because it was
 *     acknowledged
 */
export function createTaskHostModel(
  host: TaskHost,
  maxLeaseMs: number,
  record: RecordFleetEvent,
  gangs: Gangs,
  crash: () => void,
  onDiscard: (end: TaskEnd) => void,
): TaskHostModel {
  const runs = new Map<string, Run>();
  /** Highest number of a run that has ended or was ordered to stop, by task. */
  const endedRuns = new Map<string, number>();
  const faults: TaskHostFaults = {
    failing: false,
    hanging: false,
    slowness: 1,
    ignoresCapacity: false,
    stopMs: STOP_MS,
  };
  const waiters = new Set<() => void>();
  const startedAt = performance.now();
  /** Offset that makes the host's clock differ from the entry hosts' clocks. */
  const clockOffsetMs = 1_000_000;
  let ended: TaskEnd[] = [];
  let endCount = 0;
  let fence = 0;
  let leaseExpiryMs = 0;
  let leaseTimer: NodeJS.Timeout | undefined;
  let alive = true;

  const getClockMs = () =>
    Math.round(clockOffsetMs + performance.now() - startedAt);

  function answer(refusal?: HostRefusal): HostAnswer {
    return {clockMs: getClockMs(), refusal};
  }

  function acceptFence(candidate: number): boolean {
    if (candidate < fence) return false;
    fence = candidate;
    return true;
  }

  function extendLease(untilMs: number): void {
    leaseExpiryMs = Math.max(
      leaseExpiryMs,
      Math.min(untilMs, getClockMs() + maxLeaseMs),
    );
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(
      expireLease,
      Math.max(0, leaseExpiryMs - getClockMs()),
    );
  }

  function expireLease(): void {
    record({
      kind: FleetEventKind.Lapse,
      hostId: host.id,
      task: '',
      run: 0,
    });
    for (const run of [...runs.values()]) endRun(run, TaskEndKind.LeaseExpired);
  }

  function getUsed(): Capacity {
    const used = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
    for (const {behaviour} of runs.values()) {
      if (!behaviour.fills) used.cpuMillis += behaviour.cpuMillis;
      used.memoryMb += behaviour.memoryMb;
    }
    return used;
  }

  function fits({cpuMillis, memoryMb, fills}: TaskBehaviour): boolean {
    const used = getUsed();
    const needed = fills ? 0 : cpuMillis;
    return (
      used.cpuMillis + needed <= host.capacity.cpuMillis &&
      used.memoryMb + memoryMb <= host.capacity.memoryMb
    );
  }

  function endRun(run: Run, kind: TaskEndKind, isLate = false): void {
    if (runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    runs.delete(run.task);
    endedRuns.set(run.task, Math.max(endedRuns.get(run.task) ?? 0, run.run));
    endCount += 1;
    const {task} = run;
    ended.push({
      number: endCount,
      task,
      run: run.run,
      kind,
      checkpoint: '',
    });
    record({
      kind: FleetEventKind.End,
      hostId: host.id,
      task,
      run: run.run,
      how: kind,
      ...(isLate ? {isLate} : {}),
    });
    run.leaveGang(kind === TaskEndKind.Done);
    for (const wake of [...waiters]) wake();
  }

  function startWork(run: Run): void {
    if (run.stalled) return;
    if (run.behaviour.lasting) return startUp(run);
    const endKind = run.fails ? TaskEndKind.Failed : TaskEndKind.Done;
    run.timer = setTimeout(() => endRun(run, endKind), run.workMs);
  }

  function startUp(run: Run): void {
    const serve = () =>
      record({
        kind: FleetEventKind.Serving,
        hostId: host.id,
        task: run.task,
        run: run.run,
      });
    const {startupMs = 0} = run.behaviour;
    if (startupMs === 0) return serve();
    run.timer = setTimeout(serve, startupMs);
  }

  function joinGang(run: Run, size: number): void {
    const gang = `${run.task.slice(0, run.task.lastIndexOf('.'))}/${run.run}`;
    const member: GangMember = {
      begin: () => startWork(run),
      giveUp: () => endRun(run, TaskEndKind.GangIncomplete),
      endWith: done =>
        endRun(run, done ? TaskEndKind.Done : TaskEndKind.GangEnded),
    };
    run.leaveGang = done => gangs.leave(gang, member, done);
    gangs.join(gang, size, member);
  }

  function getPercent({
    behaviour,
    workMs,
    stalled,
    startedAt: at,
  }: Run): number {
    const elapsedMs = performance.now() - at;
    const {lasting, startupMs = 0} = behaviour;
    if (lasting && elapsedMs >= startupMs) return 100;
    if (stalled) return 0;
    const doneShare = elapsedMs / (lasting ? startupMs : workMs);
    return Math.min(99, Math.floor(doneShare * 100));
  }

  function listRunning(): readonly RunningTask[] {
    const fillers = [...runs.values()].filter(run => run.behaviour.fills);
    const disturbance = Math.max(0, ...fillers.map(run => run.pace)) / 100;
    return [...runs.values()].map(run => ({
      task: run.task,
      run: run.run,
      checkpoint: '',
      percent: getPercent(run),
      load: (run.behaviour.tailMs ?? 0) * disturbance,
    }));
  }

  const model: TaskHostModel = {
    host,
    faults,
    start(order) {
      if (!acceptFence(order.fence)) return answer(HostRefusal.Fenced);
      const {task, run} = order;
      if (runs.get(task)?.run === run) return answer();
      if (order.untilMs <= getClockMs())
        return answer(HostRefusal.LeaseExpired);
      extendLease(order.untilMs);
      if (run <= (endedRuns.get(task) ?? 0)) return answer(HostRefusal.OldRun);
      const behaviour = JSON.parse(order.spec) as TaskBehaviour;
      const step = task.slice(0, task.lastIndexOf('.'));
      if (behaviour.ticket && order.ticket !== `${step}@${host.id}`) {
        return answer(HostRefusal.Ticket);
      }
      if (runs.has(task)) return answer(HostRefusal.NoRoom);
      if (!fits(behaviour)) {
        if (!faults.ignoresCapacity) return answer(HostRefusal.NoRoom);
        record({kind: FleetEventKind.OverCapacity, hostId: host.id, task, run});
      }
      const started: Run = {
        task,
        run,
        behaviour,
        startedAt: performance.now(),
        workMs: behaviour.workMs * faults.slowness,
        stalled: faults.hanging,
        fails: faults.failing || run <= (behaviour.failures ?? 0),
        pace: 100,
        timer: undefined,
        leaveGang: () => {},
      };
      runs.set(task, started);
      record({kind: FleetEventKind.Start, hostId: host.id, task, run});
      if (behaviour.crashesHost) setTimeout(crash, CRASH_DELAY_MS);
      if (behaviour.gangSize) joinGang(started, behaviour.gangSize);
      else startWork(started);
      return answer();
    },
    stop({task, run, fence: requestFence}, isLate) {
      if (!acceptFence(requestFence)) return answer(HostRefusal.Fenced);
      endedRuns.set(task, Math.max(endedRuns.get(task) ?? 0, run));
      const running = runs.get(task);
      if (running?.run === run) {
        const end = () => endRun(running, TaskEndKind.Stopped, isLate);
        setTimeout(end, faults.stopMs);
      }
      return answer();
    },
    pace({task, run, fence: requestFence}, percent) {
      if (!acceptFence(requestFence)) return answer(HostRefusal.Fenced);
      const running = runs.get(task);
      if (running?.run === run) running.pace = percent;
      return answer();
    },
    async hold({fence: requestFence, seenEnd, untilMs, waitMs}) {
      const told = {bornAt: host.bornAt, connection: model, seenEnd};
      const emptyReport = {...told, running: [], ended: []};
      if (!acceptFence(requestFence)) {
        return {...answer(HostRefusal.Fenced), ...emptyReport};
      }
      const discarded = ended.filter(({number}) => number <= seenEnd);
      ended = ended.filter(({number}) => number > seenEnd);
      discarded.forEach(onDiscard);
      record({
        kind: FleetEventKind.Acknowledged,
        hostId: host.id,
        task: '',
        run: seenEnd,
      });
      if (untilMs !== undefined) extendLease(untilMs);
      if (ended.length === 0 && waitMs > 0) {
        await new Promise<void>(resolve => {
          const timer = setTimeout(finish, waitMs);
          function finish(): void {
            clearTimeout(timer);
            waiters.delete(finish);
            resolve();
          }
          waiters.add(finish);
        });
      }
      return {
        ...answer(),
        ...told,
        running: alive ? listRunning() : [],
        ended: [...ended],
      };
    },
    listRunning,
    resetPaces() {
      for (const run of runs.values()) run.pace = 100;
    },
    listRuns: () => [...runs.values()].map(({task, run}) => `${task}/${run}`),
    kill() {
      alive = false;
      clearTimeout(leaseTimer);
      for (const run of [...runs.values()]) {
        clearTimeout(run.timer);
        runs.delete(run.task);
        run.leaveGang(false);
        record({
          kind: FleetEventKind.Lost,
          hostId: host.id,
          task: run.task,
          run: run.run,
        });
      }
    },
  };
  return model;
}
