import {
  HostRoom,
  Placement,
  TaskRecord,
  returnRoom,
  takeRoom,
} from '../../decisions/workflows';
import {
  HoldReport,
  HostAnswer,
  HostAddress,
  HostCallFailure,
  HostRefusal,
  TaskHosts,
} from '../../ports/hosts';
import {delay} from '../../state';
import {Log} from '../../telemetry';
import {TaskEnd, TaskHost} from '../../types/workflow';
import {createRunEndTracker} from './end_receipts';
import {createHostClock} from './host_clock';
import {createRunOrders} from './run_orders';

/** What the leader has with one host: its lease, its runs and their ends. */
export interface HostSession {
  readonly room: HostRoom;
  readonly tasks: ReadonlyMap<string, TaskRecord>;
  /** Takes over what the host registered; undefined if its entry is gone. */
  update(host: TaskHost | undefined): void;
  /** Tells whether tasks may be started on the host. */
  isUsable(): boolean;
  /** Keeps new tasks away while the host is to be emptied. */
  cordon(cordoned: boolean): void;
  isCordoned(): boolean;
  /** True once another life was found at the host's address. */
  isGone(): boolean;
  /** Unix time in ms of the start of the life that was last seen. */
  readonly bornAt: number;
  /** Takes over a task that an earlier leader placed on the host, with its room. */
  adopt(task: TaskRecord): void;
  /** Takes over a task whose room was taken when its place was chosen. */
  add(task: TaskRecord): void;
  /** Orders the start of a task that was added, once its placement is stored. */
  start(task: TaskRecord, ticket: string): void;
  /** Orders the end of a task's run. */
  stop(task: TaskRecord, cause: string): void;
  /** Orders the share at which a run works. */
  pace(task: TaskRecord, percent: number): void;
  /** The host's life has certainly ended: what ran there runs no longer. */
  markGone(cause: string): void;
  /** Tells whether nothing is left to do with the host. */
  isIdle(): boolean;
  dispose(): void;
}

/** What a session needs. */
export interface HostSessionOptions {
  readonly host: TaskHost;
  readonly hosts: TaskHosts;
  readonly fence: number;
  /** Length of the lease of the host's runs in ms. */
  readonly leaseMs: number;
  /** Longest time from now for which leases that a former leader ordered may last, in ms. */
  readonly formerLeaseMs: number;
  /** Longest time that a stop takes at a host, in ms. */
  readonly stopMs: number;
  /** Tells whether leases may be extended: the term isn't in doubt for too long. */
  readonly mayExtend: () => boolean;
  readonly log: Log;
  /** The host has confirmed the start of a run. */
  readonly onBegun: (task: TaskRecord) => void;
  /** A run has ended; acknowledge once that is stored. */
  readonly onEnd: (
    task: TaskRecord,
    end: TaskEnd,
    acknowledge: () => void,
  ) => void;
  /** A run was never started, or is certainly gone without an end. */
  readonly onLost: (task: TaskRecord, cause: string) => void;
  /** The host has news of its room or its runs. */
  readonly onUpdate: () => void;
  /** The host obeys a later leader. */
  readonly onFenced: () => void;
}

/** Longest wait of a hold while only tasks that last run, in ms: leaves three tries in the lease. */
const HOLD_WAIT_LASTING_MS = 1_000;
/** Longest wait of a hold while tasks run that end, in ms: a hold whose answer is lost hides their ends for so long. */
const HOLD_WAIT_ENDING_MS = 400;
/** Wait after a call that got no answer, in ms. */
const RETRY_MS = 200;
/** Time for which a host that failed a call gets no new task, in ms. */
const SUSPECT_DURATION_MS = 1_000;
/** Most ends that a report lists. */
const MAX_REPORTED_ENDS = 500;
/** Least time between two orders to stop a run that nobody knows, in ms. */
const STRAY_STOP_INTERVAL_MS = 1_000;
/** Longest wait for ends to be stored before the lease is extended again, in ms. */
const MAX_STORE_WAIT_MS = 500;
/** Added to the time that a stop takes before its absence counts, in ms. */
const STOP_SLACK_MS = 100;

/**
 * Creates the session with one life of a host and starts to hold it.
 *
 * @param options the host, the term and what to call
 */
export function createHostSession({
  host: firstHost,
  hosts,
  fence,
  leaseMs,
  formerLeaseMs,
  stopMs,
  mayExtend,
  log,
  onBegun,
  onEnd,
  onLost,
  onUpdate: onNews,
  onFenced,
}: HostSessionOptions): HostSession {
  let host = firstHost;
  const address: HostAddress = {id: host.id, address: host.address};
  const tasks = new Map<string, TaskRecord>();
  const runEnds = createRunEndTracker();
  const clock = createHostClock(formerLeaseMs);
  const strayStopsAllowedAt = new Map<string, number>();
  const abort = new AbortController();
  let room = createRoom(host, []);
  let registered = true;
  let reached = false;
  let gone = false;
  let cordoned = false;
  let suspectUntil = 0;
  /** Steady time in ms of the host's last answer. */
  let answeredAt = 0;
  let acknowledged = 0;
  let reportCount = 0;
  let bornAt = host.bornAt;
  let isHolding = false;
  let lastHoldFailed = false;
  let wake: (() => void) | undefined;
  const orders = createRunOrders({
    hosts,
    address,
    fence,
    signal: abort.signal,
    isCurrent,
    nextLease,
    onAnswer: noteAnswer,
    onFailure: noteFailure,
    onSettled: handleSettled,
    onStarted: onBegun,
    onRefused(task, cause) {
      log.info('start refused', {task: task.name, host: host.id, cause});
      dropRun(task, cause);
      onNews();
    },
    onFenced,
  });

  async function hold(): Promise<void> {
    if (isHolding) return;
    isHolding = true;
    while (!abort.signal.aborted && needsHold()) {
      await waitForStore();
      if (abort.signal.aborted) break;
      if (!(await holdOnce())) await delay(RETRY_MS, abort.signal);
      dropLapsedRuns();
    }
    isHolding = false;
  }

  function needsHold(): boolean {
    if (gone) return false;
    if (tasks.size > 0 || runEnds.getStoredThrough() > acknowledged)
      return true;
    return !reached && registered;
  }

  /** Ends that aren't stored would be listed again at once. */
  async function waitForStore(): Promise<void> {
    const until = performance.now() + MAX_STORE_WAIT_MS;
    while (runEnds.hasUnstored() && performance.now() < until) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, until - performance.now());
        wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  async function holdOnce(): Promise<boolean> {
    reportCount += 1;
    const number = reportCount;
    const seenEnd = runEnds.getStoredThrough();
    // A call that may be lost must not put off the certain end of the lease.
    const untilMs = lastHoldFailed ? undefined : nextLease();
    const waits = tasks.size > 0 && reached && untilMs !== undefined;
    const waitMs = waits && !runEnds.hasUnstored() ? getHoldWaitMs() : 0;
    const sentAt = performance.now();
    const answer = await hosts.hold(address, {
      fence,
      seenEnd,
      untilMs,
      waitMs,
    });
    if (abort.signal.aborted) return true;
    lastHoldFailed = answer.isErr;
    if (answer.isErr) {
      noteFailure('hold', answer.error, sentAt);
      return false;
    }
    const report = answer.value;
    noteAnswer(report);
    if (report.refusal === HostRefusal.Fenced) {
      onFenced();
      return false;
    }
    if (report.refusal !== undefined) return false;
    handleReport(report, number);
    acknowledged = Math.max(acknowledged, seenEnd);
    return true;
  }

  function getHoldWaitMs(): number {
    for (const {step} of tasks.values())
      if (!step.lasting) return HOLD_WAIT_ENDING_MS;
    return HOLD_WAIT_LASTING_MS;
  }

  function nextLease(): number | undefined {
    const clockMs = clock.estimate();
    if (clockMs === undefined || !mayExtend()) return undefined;
    const untilMs = clockMs + leaseMs;
    clock.noteLease(untilMs);
    return untilMs;
  }

  function handleReport(report: HoldReport, number: number): void {
    if (report.bornAt !== 0 && bornAt !== 0 && report.bornAt !== bornAt) {
      handleRestart(report.bornAt);
    } else if (report.bornAt !== 0) {
      bornAt = report.bornAt;
    }
    if (!reached) {
      reached = true;
      clock.noteFenceAccepted(leaseMs);
      log.info('host reached', {host: host.id, pool: host.pool, fence});
    }
    const present = new Set<string>();
    for (const running of report.running) {
      const task = tasks.get(running.task);
      if (task?.placement?.run !== running.run) {
        stopStray(running.task, running.run);
        continue;
      }
      present.add(running.task);
      noteRunning(task, task.placement, running);
    }
    for (const end of report.ended) handleEnd(end, present);
    if (report.ended.length < MAX_REPORTED_ENDS) dropAbsent(present, number);
    onNews();
  }

  function noteRunning(
    task: TaskRecord,
    placement: Placement,
    running: HoldReport['running'][number],
  ): void {
    placement.confirmed = true;
    onBegun(task);
    placement.seenAt = performance.now();
    if (running.percent !== placement.percent) {
      placement.percent = running.percent;
      placement.movedAt = performance.now();
    }
    placement.load = running.load;
    if (running.checkpoint !== '') task.checkpoint = running.checkpoint;
  }

  function handleEnd(end: TaskEnd, present: Set<string>): void {
    if (!runEnds.accept(end.number)) return;
    const acknowledge = () => {
      runEnds.markStored(end.number);
      wake?.();
      void hold();
    };
    const task = tasks.get(end.task);
    if (task?.placement?.run !== end.run) return acknowledge();
    present.add(end.task);
    release(task);
    onEnd(task, end, acknowledge);
  }

  /** A run that should be listed and isn't has gone without an end. */
  function dropAbsent(present: ReadonlySet<string>, number: number): void {
    for (const task of [...tasks.values()]) {
      const {placement} = task;
      if (!placement || present.has(task.name)) continue;
      if (placement.settledReport >= number) continue;
      if (placement.stopping && !isStopOver(placement)) continue;
      dropRun(task, 'not listed by its host');
    }
  }

  function isStopOver({stoppedAt}: Placement): boolean {
    if (stoppedAt === 0) return false;
    return performance.now() > stoppedAt + stopMs + STOP_SLACK_MS;
  }

  function stopStray(task: string, run: number): void {
    const key = `${task}/${run}`;
    const now = performance.now();
    if (now < (strayStopsAllowedAt.get(key) ?? 0)) return;
    strayStopsAllowedAt.set(key, now + STRAY_STOP_INTERVAL_MS);
    log.warn('stray run', {task, run, host: host.id, decision: 'stop'});
    void hosts.stop(address, {task, run, fence});
  }

  /** Everything of the former life is gone; what was just ordered may be in the new one. */
  function handleRestart(newBornAt: number): void {
    log.warn('host restarted', {host: host.id, bornAt: newBornAt});
    bornAt = newBornAt;
    runEnds.reset();
    acknowledged = 0;
  }

  function noteAnswer({clockMs}: HostAnswer): void {
    answeredAt = performance.now();
    clock.observe(clockMs);
  }

  function noteFailure(
    call: string,
    failure: HostCallFailure,
    sentAt: number,
  ): void {
    // A host that has answered since then has lost this call only.
    const lost = failure === HostCallFailure.NoAnswer && answeredAt > sentAt;
    if (lost) return log.info('call lost', {host: host.id, call});
    if (performance.now() > suspectUntil) {
      log.warn('host lost', {host: host.id, pool: host.pool, call, failure});
    }
    suspectUntil = performance.now() + SUSPECT_DURATION_MS;
    if (failure === HostCallFailure.Replaced) {
      handleGone('another life is at its address');
    }
  }

  function handleGone(cause: string): void {
    if (gone) return;
    gone = true;
    log.warn('host gone', {host: host.id, pool: host.pool, cause});
    for (const task of [...tasks.values()]) dropRun(task, cause);
    onNews();
  }

  /** What runs on a host that can't be reached has ended when its lease certainly has. */
  function dropLapsedRuns(): void {
    if (performance.now() > suspectUntil || !clock.hasCertainlyLapsed()) return;
    for (const task of [...tasks.values()]) dropRun(task, 'lease lapsed');
  }

  function dropRun(task: TaskRecord, cause: string): void {
    release(task);
    onLost(task, cause);
  }

  function release(task: TaskRecord): void {
    if (!tasks.delete(task.name)) return;
    returnRoom(room, task.step, task.group);
  }

  function isCurrent(task: TaskRecord, placement: Placement): boolean {
    return (
      !abort.signal.aborted &&
      task.placement === placement &&
      tasks.get(task.name) === task
    );
  }

  /** Reports that are made from now on must list the run. */
  function handleSettled(placement: Placement): void {
    placement.confirmed = true;
    placement.settledReport = Math.min(placement.settledReport, reportCount);
    void hold();
  }

  void hold();

  return {
    get room() {
      return room;
    },
    tasks,
    update(next) {
      registered = next !== undefined;
      if (!next) return;
      if (next.bornAt !== 0 && bornAt !== 0 && next.bornAt > bornAt) {
        // Its reports are of the new life from now on.
        reached = false;
      }
      host = next;
      room = createRoom(next, tasks.values());
      void hold();
    },
    isUsable: () =>
      registered &&
      reached &&
      !gone &&
      !cordoned &&
      !host.draining &&
      performance.now() > suspectUntil,
    cordon(value) {
      cordoned = value;
    },
    isCordoned: () => cordoned,
    isGone: () => gone,
    get bornAt() {
      return bornAt;
    },
    adopt(task) {
      tasks.set(task.name, task);
      takeRoom(room, task.step, task.group);
      void hold();
    },
    add: task => void tasks.set(task.name, task),
    start(task, ticket) {
      const {placement} = task;
      if (!placement || !isCurrent(task, placement)) return;
      if (placement.stopping) return dropRun(task, 'stopped before its start');
      void hold();
      void orders.start(task, placement, ticket);
    },
    stop(task, cause) {
      const {placement} = task;
      if (!placement || placement.stopping) return;
      log.info('stop', {
        task: task.name,
        run: placement.run,
        host: host.id,
        cause,
      });
      placement.stopping = true;
      // A start that is under way ends its own loop with the stop.
      if (placement.settledReport !== Infinity || placement.confirmed) {
        void orders.stop(task, placement);
      }
    },
    pace(task, percent) {
      const {placement} = task;
      if (!placement || placement.pace === percent) return;
      void orders.pace(task, placement, percent);
    },
    markGone: handleGone,
    isIdle: () => tasks.size === 0 && !registered,
    dispose: () => abort.abort(),
  };
}

function createRoom(host: TaskHost, tasks: Iterable<TaskRecord>): HostRoom {
  const room: HostRoom = {
    host,
    free: {...host.capacity},
    groups: new Map(),
    serving: 0,
    filling: 0,
    doubtful: false,
  };
  for (const task of tasks) takeRoom(room, task.step, task.group);
  return room;
}
