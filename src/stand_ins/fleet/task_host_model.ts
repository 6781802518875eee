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

/** How the tasks of a workflow behave on a stand-in host; written as JSON in its spec. */
export interface TaskBehaviour {
  /** Run time of a task in ms. */
  readonly workMs: number;
  /** Thousandths of a processor of a task. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** The task runs until it is stopped. */
  readonly lasting?: boolean;
  /** Runs of each task that fail before one succeeds. */
  readonly failures?: number;
  /** The task doesn't count against the host's processors. */
  readonly fills?: boolean;
  /** Tail of a serving task's response times in ms beside a filler at full pace; 0 without. */
  readonly tailMs?: number;
  /** A start needs the advice service's ticket. */
  readonly ticket?: boolean;
  /** Members of the gang that the task belongs to; 0 without. */
  readonly gangSize?: number;
}

/** Faults of a host; set by tests at any time. */
export interface TaskHostFaults {
  /** Runs that start now fail at their end. */
  failing: boolean;
  /** Runs that start now never end. */
  hanging: boolean;
  /** What runs works this many times slower. */
  slowness: number;
  /** The host starts whatever it is told to start. */
  unguarded: boolean;
}

/** One life of a stand-in host that runs tasks, without any transport. */
export interface TaskHostModel {
  readonly host: TaskHost;
  readonly faults: TaskHostFaults;
  start(order: StartOrder): HostAnswer;
  stop(order: RunOrder): HostAnswer;
  pace(order: RunOrder, percent: number): HostAnswer;
  hold(request: HoldRequest): Promise<HoldReport>;
  /** What is at work, as a hold reports it. */
  listRunning(): readonly RunningTask[];
  /** Lets every run work at its full share, as if the order to slow it had been lost. */
  resetPaces(): void;
  /** Names and runs of what is at work. */
  listRuns(): readonly string[];
  /** Ends the life with all that runs. */
  kill(): void;
}

interface Run {
  readonly task: string;
  readonly run: number;
  readonly behaviour: TaskBehaviour;
  readonly startedAt: number;
  readonly fails: boolean;
  /** It never gets on. */
  readonly stalled: boolean;
  pace: number;
  timer: NodeJS.Timeout | undefined;
  /** Tells the other members of its gang how it has ended. */
  leaveGang: (done: boolean) => void;
}

/** Time of a stop in ms. */
const STOP_MS = 100;

/**
 * Creates one life of a host.
 *
 * @param host what it registers
 * @param longestHoldMs longest lease of its runs in ms
 * @param record told of starts and ends
 * @param gangs runs of the whole fleet that work only together
 */
export function createTaskHostModel(
  host: TaskHost,
  longestHoldMs: number,
  record: RecordFleetEvent,
  gangs: Gangs,
): TaskHostModel {
  const runs = new Map<string, Run>();
  const over = new Map<string, number>();
  const faults: TaskHostFaults = {
    failing: false,
    hanging: false,
    slowness: 1,
    unguarded: false,
  };
  const waiters = new Set<() => void>();
  const startedAt = performance.now();
  /** Clocks of hosts differ; this one started long ago. */
  const clockStart = 1_000_000;
  let ended: TaskEnd[] = [];
  let endCount = 0;
  let fence = 0;
  let leaseUntil = 0;
  let lease: NodeJS.Timeout | undefined;
  let alive = true;

  const getClock = () => Math.round(clockStart + performance.now() - startedAt);

  function answer(refusal?: HostRefusal): HostAnswer {
    return {clockMs: getClock(), refusal};
  }

  function takeFence(candidate: number): boolean {
    if (candidate < fence) return false;
    fence = candidate;
    return true;
  }

  function extend(untilMs: number): void {
    leaseUntil = Math.max(
      leaseUntil,
      Math.min(untilMs, getClock() + longestHoldMs),
    );
    clearTimeout(lease);
    lease = setTimeout(lapse, Math.max(0, leaseUntil - getClock()));
  }

  function lapse(): void {
    for (const run of [...runs.values()]) end(run, TaskEndKind.Lapsed);
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

  function end(run: Run, kind: TaskEndKind): void {
    if (runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    runs.delete(run.task);
    over.set(run.task, Math.max(over.get(run.task) ?? 0, run.run));
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
    });
    run.leaveGang(kind === TaskEndKind.Done);
    for (const wake of [...waiters]) wake();
  }

  function work(run: Run): void {
    if (run.behaviour.lasting || run.stalled) return;
    const how = run.fails ? TaskEndKind.Failed : TaskEndKind.Done;
    run.timer = setTimeout(
      () => end(run, how),
      run.behaviour.workMs * faults.slowness,
    );
  }

  function joinGang(run: Run, size: number): void {
    const gang = `${run.task.slice(0, run.task.lastIndexOf('.'))}/${run.run}`;
    const member: GangMember = {
      begin: () => work(run),
      giveUp: () => end(run, TaskEndKind.Alone),
      endWith: done => end(run, done ? TaskEndKind.Done : TaskEndKind.Broken),
    };
    run.leaveGang = done => gangs.leave(gang, member, done);
    gangs.join(gang, size, member);
  }

  function getPercent({behaviour, stalled, startedAt: at}: Run): number {
    if (behaviour.lasting) return 100;
    if (stalled) return 0;
    const part = (performance.now() - at) / behaviour.workMs;
    return Math.min(99, Math.floor(part * 100));
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

  return {
    host,
    faults,
    start(order) {
      if (!takeFence(order.fence)) return answer(HostRefusal.Fenced);
      const {task, run} = order;
      if (runs.get(task)?.run === run) return answer();
      if (order.untilMs <= getClock()) return answer(HostRefusal.Late);
      extend(order.untilMs);
      if (run <= (over.get(task) ?? 0)) return answer(HostRefusal.OldRun);
      const behaviour = JSON.parse(order.spec) as TaskBehaviour;
      const step = task.slice(0, task.lastIndexOf('.'));
      if (behaviour.ticket && order.ticket !== `${step}@${host.id}`) {
        return answer(HostRefusal.Ticket);
      }
      if (runs.has(task)) return answer(HostRefusal.NoRoom);
      if (!fits(behaviour)) {
        if (!faults.unguarded) return answer(HostRefusal.NoRoom);
        record({kind: FleetEventKind.Overfull, hostId: host.id, task, run});
      }
      const started: Run = {
        task,
        run,
        behaviour,
        startedAt: performance.now(),
        stalled: faults.hanging,
        fails: faults.failing || run <= (behaviour.failures ?? 0),
        pace: 100,
        timer: undefined,
        leaveGang: () => {},
      };
      runs.set(task, started);
      record({kind: FleetEventKind.Start, hostId: host.id, task, run});
      if (behaviour.gangSize) joinGang(started, behaviour.gangSize);
      else work(started);
      return answer();
    },
    stop({task, run, fence: by}) {
      if (!takeFence(by)) return answer(HostRefusal.Fenced);
      over.set(task, Math.max(over.get(task) ?? 0, run));
      const running = runs.get(task);
      if (running?.run === run) {
        setTimeout(() => end(running, TaskEndKind.Stopped), STOP_MS);
      }
      return answer();
    },
    pace({task, run, fence: by}, percent) {
      if (!takeFence(by)) return answer(HostRefusal.Fenced);
      const running = runs.get(task);
      if (running?.run === run) running.pace = percent;
      return answer();
    },
    async hold({fence: by, seenEnd, untilMs, waitMs}) {
      const refused = {bornAt: host.bornAt, running: [], ended: []};
      if (!takeFence(by)) {
        return {...answer(HostRefusal.Fenced), ...refused};
      }
      ended = ended.filter(({number}) => number > seenEnd);
      record({
        kind: FleetEventKind.Seen,
        hostId: host.id,
        task: '',
        run: seenEnd,
      });
      if (untilMs !== undefined) extend(untilMs);
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
        bornAt: host.bornAt,
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
      clearTimeout(lease);
      for (const run of [...runs.values()]) {
        clearTimeout(run.timer);
        runs.delete(run.task);
        run.leaveGang(false);
        record({
          kind: FleetEventKind.Gone,
          hostId: host.id,
          task: run.task,
          run: run.run,
        });
      }
    },
  };
}
