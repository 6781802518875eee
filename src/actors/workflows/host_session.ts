import {
  HostRoom,
  IncarnationId,
  Placement,
  TaskRecord,
  createHostRoom,
  isStarted,
  releaseRoom,
  reserveRoom,
} from '../../decisions/workflows';
import {
  HoldReport,
  HostAnswer,
  HostAddress,
  HostCallFailure,
  HostRefusal,
} from '../../ports/hosts';
import {delay, runInBackground} from '../../state';
import {TaskEnd, TaskHost} from '../../types/workflow';
import {MIN_CLOCK_RATE} from './host_clock';
import {HostEnd} from './host_end';
import {
  HostIncarnation,
  createHostIncarnation,
  createNextIncarnation,
} from './host_incarnation';
import {HostSessionOptions} from './host_session_options';
import {createNamedEnds} from './named_ends';
import {createRecentEntries} from './recent_entries';
import {RestartEvidence, findRestart} from './restart_evidence';
import {getRunKey} from './run_key';
import {createRunLoss} from './run_loss';
import {createRunOrders} from './run_orders';

/**
 * The leader's session with one host: renews the lease on the host's runs,
 * orders runs to start and stop, and processes their ends.
 */
export interface HostSession {
  readonly room: HostRoom;
  readonly tasks: ReadonlyMap<string, TaskRecord>;
  /**
   * Updates the session from the host's registry entry; undefined if the entry
   * was removed.
   */
  update(host: TaskHost | undefined): void;
  /** Returns whether tasks may be started on the host. */
  isUsable(): boolean;
  /**
   * Sets whether the host is excluded from new placements while it is drained.
   */
  cordon(cordoned: boolean): void;
  isCordoned(): boolean;
  /** Returns whether this incarnation of the host is known to have ended. */
  isGone(): boolean;
  /**
   * Monotonic time in ms of the first report of its incarnation; 0 before.
   */
  readonly reportedAt: number;
  /** Monotonic time in ms of its last answer, or of the session's start. */
  readonly answeredAt: number;
  /** Unix time in ms at which the last seen incarnation of the host started. */
  readonly bornAt: number;
  /**
   * Adds a task that an earlier leader placed on the host and reserves its
   * room.
   */
  adopt(task: TaskRecord): void;
  /** Adds a newly placed task; the placement has already reserved its room. */
  add(task: TaskRecord): void;
  /**
   * Orders the host to start an added task; called once its placement is
   * stored.
   */
  start(task: TaskRecord, ticket: string): void;
  /** Orders the host to stop a task's run. */
  stop(task: TaskRecord, cause: string): void;
  /** Orders the pace of a run, in percent of its full speed. */
  pace(task: TaskRecord, percent: number): void;
  /**
   * Marks the host as gone: its incarnation has certainly ended, and with it
   * all of its runs.
   */
  markGone(cause: string, end: HostEnd): void;
  /**
   * Returns whether the session can be closed: no tasks are left and the host
   * is no longer registered.
   */
  isIdle(): boolean;
  dispose(): void;
}

/**
 * Maximum wait of a hold call while only long-running tasks run, in ms; leaves
 * time for three attempts within the lease.
 */
const HOLD_WAIT_MS = 1_000;
/**
 * Maximum wait of a hold call while tasks run that end by themselves, in ms; a
 * lost answer delays the report of their ends by this time.
 */
const END_WAIT_MS = 400;
/** Delay before retrying a hold call that failed, in ms. */
const RETRY_MS = 200;
/**
 * Maximum delay before retrying a hold call to a host that has never reported,
 * in ms; the delay doubles with each failure.
 */
const MAX_UNKNOWN_RETRY_MS = 1_600;
/** How long a host receives no new tasks after a failed call, in ms. */
const SUSPECT_DURATION_MS = 1_000;
/** Maximum number of ends in one report. */
const MAX_REPORTED_ENDS = 500;
/** Maximum number of unknown runs that are remembered. */
const MAX_STRAY_RUNS = 1_000;
/** Minimum time between two stop orders for the same unknown run, in ms. */
const STRAY_STOP_INTERVAL_MS = 1_000;
/**
 * Maximum time that a lease extension is postponed until ends are stored, in
 * ms.
 */
const MAX_STORE_WAIT_MS = 500;
/**
 * Margin in ms added to the maximum stop time before a stopped run that is
 * missing from a report counts as ended.
 */
export const STOP_SLACK_MS = 100;

/**
 * Creates the session with one incarnation of a host and starts its hold loop.
 *
 * @param options the host, settings of the term and callbacks
 */
export function createHostSession({
  host: firstHost,
  hosts,
  fence,
  leaseMs,
  earlierLeaseMs,
  maxLeaseMs,
  stopMs,
  mayExtend,
  unansweredStarts,
  usage,
  log,
  errors,
  onBegun,
  mayRepeatStop,
  onStop,
  onServing,
  onStartAnswered,
  onEnd,
  onUnplacedEnd,
  onLost,
  onCrash,
  onUpdate,
  onFenced,
}: HostSessionOptions): HostSession {
  let host = firstHost;
  const tasks = new Map<string, TaskRecord>();
  const strayStopsAllowedAt = createRecentEntries<number>(MAX_STRAY_RUNS);
  const abort = new AbortController();
  let room = createHostRoom(host, []);
  let registered = true;
  let gone = false;
  let cordoned = false;
  /** Monotonic time in ms until which the host gets no new tasks. */
  let suspectUntil = 0;
  /** Monotonic time in ms of the host's last answer, or of the session's start. */
  let answeredAt = performance.now();
  /** Monotonic time in ms of the last report. */
  let lastReportAt = 0;
  /** Number of reports requested. */
  let reports = 0;
  let incarnation = createHostIncarnation(
    host,
    maxLeaseMs,
    earlierLeaseMs,
    unansweredStarts.list(host.id),
  );
  let source: IncarnationId = {hostId: host.id, bornAt: incarnation.bornAt};
  const namedEnds = createNamedEnds();
  /** Incarnation that was known when a task was added. */
  const placedOn = new Map<TaskRecord, HostIncarnation>();
  let address: HostAddress = {id: host.id, address: host.address};
  let isHolding = false;
  /** Number of hold calls that have failed in a row. */
  let failedHolds = 0;
  let wake: (() => void) | undefined;
  const orders = createRunOrders({
    hosts,
    getAddress: () => address,
    fence,
    signal: abort.signal,
    unansweredStarts,
    isCurrent,
    mayRepeatStop: mayRepeat,
    getIncarnation: () => incarnation,
    nextLease,
    hasAnsweredSince: time => answeredAt > time,
    onAnswer: handleOrderAnswer,
    onFailure: handleFailure,
    onSettled: handleSettled,
    onStarted(task) {
      onStartAnswered(task, true);
      onBegun(task);
    },
    onRefused(task, cause) {
      log.info('start refused', {task: task.name, host: host.id, cause});
      onStartAnswered(task, false);
      dropRun(task, cause, true);
      onUpdate();
    },
    onFenced,
  });

  async function hold(): Promise<void> {
    if (isHolding) return;
    isHolding = true;
    try {
      while (!abort.signal.aborted && needsHold()) {
        try {
          await waitForStore();
          if (abort.signal.aborted) break;
          if (!(await holdOnce())) await delay(getRetryMs(), abort.signal);
        } catch (error) {
          handleError(error);
          await delay(getRetryMs(), abort.signal);
        }
        dropExpiredRuns();
      }
    } finally {
      isHolding = false;
    }
  }

  function getRetryMs(): number {
    if (tasks.size > 0 || incarnation.reportedAt > 0) return RETRY_MS;
    const doublings = Math.max(0, failedHolds - 1);
    return Math.min(MAX_UNKNOWN_RETRY_MS, RETRY_MS * 2 ** doublings);
  }

  function startHolding(): void {
    runInBackground(hold, handleError);
  }

  /**
   * A host whose reports cannot be handled counts as lost: its lease is not
   * extended, and its runs are started elsewhere once it has expired.
   */
  function handleError(error: unknown): void {
    if (abort.signal.aborted) return;
    errors.report('host session', error, {host: host.id, pool: host.pool});
    failedHolds += 1;
    suspectUntil = performance.now() + SUSPECT_DURATION_MS;
  }

  function needsHold(): boolean {
    if (gone) return false;
    const {reached, runEnds} = incarnation;
    if (isInUse() || runEnds.getUnacknowledged() > 0) return true;
    return !reached && registered;
  }

  /**
   * An order without an answer may be carried out by the next incarnation, so a
   * restart has to be noticed also while the host has no tasks.
   */
  function isInUse(): boolean {
    return tasks.size > 0 || unansweredStarts.has(host.id);
  }

  /**
   * Waits until received ends are stored; until they are acknowledged, the host
   * would report them again immediately.
   */
  async function waitForStore(): Promise<void> {
    const until = performance.now() + MAX_STORE_WAIT_MS;
    while (hasUnstoredEnds() && performance.now() < until) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, until - performance.now());
        wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  function hasUnstoredEnds(): boolean {
    return incarnation.runEnds.countUnstored() > 0;
  }

  /**
   * Follows the host to the address that it has registered. An entry of an
   * earlier incarnation may be written late: it counts only if the known one
   * does not answer.
   */
  function updateAddress(): void {
    if (host.address === address.address) return;
    if (host.bornAt < incarnation.bornAt && failedHolds === 0) return;
    log.info('host moved', {
      host: host.id,
      address: host.address,
      earlierAddress: address.address,
    });
    address = {id: host.id, address: host.address};
    incarnation.reached = false;
  }

  async function holdOnce(): Promise<boolean> {
    updateAddress();
    reports += 1;
    const number = reports;
    const {reached, runEnds, connections} = incarnation;
    const seenEnd = runEnds.getUnacknowledged();
    // After a failed call, do not extend the lease: if the answer is lost
    // again, the extension would postpone the time at which the lease has
    // certainly expired.
    const untilMs = failedHolds > 0 ? undefined : nextLease();
    const waits = isInUse() && reached && untilMs !== undefined;
    const waitMs = waits && !hasUnstoredEnds() ? getHoldWaitMs() : 0;
    const sentAt = performance.now();
    const calledAddress = address;
    const answer = await hosts.hold(calledAddress, {
      fence,
      seenEnd,
      seenOn: connections,
      untilMs,
      waitMs,
    });
    // A call without an answer may have acknowledged them.
    const namedEnd = answer.isOk ? answer.value.seenEnd : seenEnd;
    if (namedEnd > 0) namedEnds.record(namedEnd, sentAt);
    if (abort.signal.aborted) return true;
    failedHolds = answer.isErr ? failedHolds + 1 : 0;
    if (answer.isErr) {
      handleFailure('hold', answer.error, sentAt, calledAddress);
      return false;
    }
    const report = answer.value;
    if (report.refusal === HostRefusal.Fenced) {
      onFenced();
      return false;
    }
    identify(report, calledAddress.address, sentAt);
    if (report.refusal !== undefined) return false;
    if (hasLateStarts(report)) return rejectLateStarts();
    handleReport(report, number);
    runEnds.markAcknowledged(report.seenEnd);
    return true;
  }

  function getHoldWaitMs(): number {
    for (const {step} of tasks.values()) if (!step.lasting) return END_WAIT_MS;
    return HOLD_WAIT_MS;
  }

  function nextLease(): number | undefined {
    const {clock, reached} = incarnation;
    const clockMs = clock.estimate();
    if (clockMs === undefined || !reached || !mayExtend()) return undefined;
    const untilMs = clockMs + leaseMs;
    clock.recordLease(untilMs);
    return untilMs;
  }

  function handleReport(report: HoldReport, number: number): void {
    lastReportAt = performance.now();
    incarnation.reportedAt ||= performance.now();
    if (!incarnation.reached) {
      incarnation.reached = true;
      // On a later incarnation than the one that it was meant for, a lease of an
      // earlier leader is as long as the host allows.
      const isLater = [...tasks.values()].some(wasPlacedBefore);
      incarnation.clock.recordFenceAccepted(isLater ? maxLeaseMs : leaseMs);
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
      updateRun(task, task.placement, running);
    }
    for (const end of report.ended.slice(0, MAX_REPORTED_ENDS)) {
      handleEnd(end, present);
    }
    if (report.ended.length < MAX_REPORTED_ENDS) dropAbsent(present, number);
    onUpdate();
  }

  /** Returns whether a task was placed on an earlier incarnation of the host. */
  function wasPlacedBefore({placement}: TaskRecord): boolean {
    return placement !== undefined && placement.bornAt !== incarnation.bornAt;
  }

  function updateRun(
    task: TaskRecord,
    placement: Placement,
    running: HoldReport['running'][number],
  ): void {
    confirm(placement);
    placement.listed = true;
    task.hasBeenListed = true;
    room.starting.delete(task);
    if (placement.stopping && isStopOver(placement) && mayRepeatStop(task)) {
      // The stop was carried out by an earlier incarnation.
      placement.stoppedAt = 0;
      sendStop(task, placement);
    }
    onBegun(task);
    placement.seenAt = performance.now();
    if (running.percent !== placement.percent) {
      const wasStarted = isStarted(placement.percent);
      placement.percent = running.percent;
      placement.progressedAt = performance.now();
      if (!wasStarted && isStarted(running.percent)) onServing(task);
    }
    placement.load = running.load;
    if (running.checkpoint !== '') task.checkpoint = running.checkpoint;
  }

  function handleEnd(end: TaskEnd, present: Set<string>): void {
    const {runEnds} = incarnation;
    if (!runEnds.accept(end)) return;
    const acknowledge = () => {
      runEnds.markStored(end.number);
      wake?.();
      startHolding();
    };
    const task = tasks.get(end.task);
    if (task?.placement?.run !== end.run)
      return onUnplacedEnd(end, getSource(), acknowledge);
    present.add(end.task);
    release(task);
    onEnd(task, end, getSource(), acknowledge);
  }

  /** Returns one object for each incarnation, as each done task keeps it. */
  function getSource(): IncarnationId {
    const {bornAt} = incarnation;
    if (source.bornAt !== bornAt) source = {hostId: host.id, bornAt};
    return source;
  }

  /**
   * Drops runs that the host should have listed but did not: they are gone
   * without an end.
   */
  function dropAbsent(present: ReadonlySet<string>, number: number): void {
    for (const task of [...tasks.values()]) {
      const {placement} = task;
      if (!placement || present.has(task.name)) continue;
      if (placement.lastUnsettledReport >= number) continue;
      if (placement.stopping && !isStopOver(placement)) continue;
      dropRun(task, 'missing from the report of its host');
    }
  }

  /** A stop of a run that the last report doesn't list ends no work. */
  function mayRepeat(task: TaskRecord, {listed, seenAt}: Placement): boolean {
    return !listed || seenAt < lastReportAt || mayRepeatStop(task);
  }

  function isStopOver({stoppedAt}: Placement): boolean {
    if (stoppedAt === 0) return false;
    return performance.now() > stoppedAt + stopMs + STOP_SLACK_MS;
  }

  function stopStray(task: string, run: number): void {
    const key = getRunKey(task, run);
    const now = performance.now();
    if (now < (strayStopsAllowedAt.get(key) ?? 0)) return;
    strayStopsAllowedAt.set(key, now + STRAY_STOP_INTERVAL_MS);
    const {bornAt} = incarnation;
    log.warn('stray run', {task, run, host: host.id, bornAt, decision: 'stop'});
    runInBackground(() => hosts.stop(address, {task, run, fence}), handleError);
  }

  /** Notes which incarnation has answered, and where. */
  function identify(
    report: HoldReport,
    answeredFrom: string,
    sentAt: number,
  ): void {
    const evidence = findRestart(incarnation, report, sentAt);
    if (evidence) handleRestart(report, answeredFrom, evidence);
    incarnation.bornAt ||= report.bornAt;
    incarnation.connections.add(report.connection);
    incarnation.address = answeredFrom;
    recordAnswer(report, incarnation);
  }

  /**
   * Starts anew with another incarnation of the host. Runs that the host no
   * longer lists are dropped by `dropAbsent`; recently ordered runs may already
   * belong to the new incarnation.
   */
  function handleRestart(
    report: HoldReport,
    answeredFrom: string,
    evidence: RestartEvidence,
  ): void {
    const {bornAt} = report;
    log.warn('host restarted', {
      host: host.id,
      evidence,
      bornAt,
      earlierBornAt: incarnation.bornAt,
      unstoredEnds: incarnation.runEnds.countUnstored(),
    });
    // A run that the new incarnation lists was started after the crash.
    const startedSince = new Set(
      [...report.running, ...report.ended].map(({task, run}) =>
        getRunKey(task, run),
      ),
    );
    const isNewBirth = bornAt !== incarnation.bornAt;
    reportCrash(({name, placement}) => {
      if (isNewBirth && placement?.bornAt === bornAt) return false;
      return !startedSince.has(getRunKey(name, placement?.run ?? 0));
    });
    incarnation = createNextIncarnation(
      bornAt,
      answeredFrom,
      maxLeaseMs,
      unansweredStarts.getMaxDelayMs(host.id) + maxLeaseMs / MIN_CLOCK_RATE,
      unansweredStarts.list(host.id),
    );
  }

  /** A run that the incarnation lists needs no order: it has been started. */
  function hasLateStarts({running}: HoldReport): boolean {
    const {lateStarts} = incarnation;
    if (lateStarts.size === 0) return false;
    for (const {task, run} of running) lateStarts.delete(getRunKey(task, run));
    return lateStarts.size > 0;
  }

  /**
   * Stops the runs that orders to an earlier incarnation may still start on
   * this one, which makes it reject them. Until then it gets no tasks, and its
   * reports tell of no run that is missing.
   *
   * @returns whether all stops were answered
   */
  async function rejectLateStarts(): Promise<boolean> {
    const called = incarnation;
    const calledAddress = address;
    const {lateStarts} = called;
    log.warn('late starts', {host: host.id, runs: lateStarts.size, fence});
    const calls = [...lateStarts].map(async ([key, {task, run}]) => {
      const sentAt = performance.now();
      const answer = await hosts.stop(calledAddress, {task, run, fence});
      if (abort.signal.aborted) return;
      if (answer.isErr) {
        return handleFailure('stop', answer.error, sentAt, calledAddress);
      }
      handleOrderAnswer(answer.value, called, sentAt);
      if (answer.value.refusal === HostRefusal.Fenced) return onFenced();
      lateStarts.delete(key);
    });
    await Promise.all(calls);
    return lateStarts.size === 0;
  }

  function recordAnswer({clockMs}: HostAnswer, {clock}: HostIncarnation): void {
    answeredAt = performance.now();
    clock.observe(clockMs);
  }

  /**
   * An order may be answered by a later incarnation than the one that was
   * called. Until that has reported, it gets no tasks, leases or
   * acknowledgements.
   */
  function handleOrderAnswer(
    answer: HostAnswer,
    called: HostIncarnation,
    sentAt: number,
  ): void {
    if (called.clock.canReport(answer.clockMs, sentAt)) {
      return recordAnswer(answer, called);
    }
    called.isOver = true;
    called.reached = false;
    startHolding();
  }

  function handleFailure(
    call: string,
    failure: HostCallFailure,
    sentAt: number,
    called: HostAddress,
  ): void {
    // If the host has answered another call since, only this call was lost.
    const lost = failure === HostCallFailure.NoAnswer && answeredAt > sentAt;
    if (lost) return log.info('call lost', {host: host.id, call});
    if (performance.now() > suspectUntil) {
      log.warn('host lost', {host: host.id, pool: host.pool, call, failure});
    }
    suspectUntil = performance.now() + SUSPECT_DURATION_MS;
    // At an address where it has not reported yet, or was before, another host
    // says nothing about it.
    const isKnownAddress = [address, called].every(
      each => each.address === incarnation.address,
    );
    if (failure === HostCallFailure.Replaced && isKnownAddress) {
      handleGone(
        'another host incarnation answers at its address',
        HostEnd.Crashed,
      );
    }
  }

  function handleGone(cause: string, end: HostEnd): void {
    if (gone) return;
    gone = true;
    if (end === HostEnd.Crashed) reportCrash(() => true);
    log.warn('host gone', {host: host.id, pool: host.pool, cause});
    for (const task of [...tasks.values()]) dropRun(task, cause);
    onUpdate();
  }

  /** Hosts that drain or wait for an order end without a crash. */
  function reportCrash(wasPlaced: (task: TaskRecord) => boolean): void {
    if (host.draining || cordoned) return;
    onCrash([...tasks.values()].filter(wasPlaced));
  }

  /**
   * Drops the runs of an unreachable host once its lease has certainly expired,
   * as the host stops them by then. It gets no tasks until it has reported.
   */
  function dropExpiredRuns(): void {
    if (performance.now() > suspectUntil) return;
    if (!incarnation.clock.hasCertainlyExpired()) return;
    incarnation.reached = false;
    for (const task of [...tasks.values()]) {
      if (mayRunOnNext(task)) continue;
      dropRun(task, 'lease expired');
    }
  }

  /**
   * Returns whether a later incarnation of the host may execute a task, with a
   * lease on its own clock: it may have received the start.
   */
  function mayRunOnNext({placement}: TaskRecord): boolean {
    const {isOver, clock} = incarnation;
    if (placement?.confirmed && !isOver) return false;
    return !clock.hasCertainlyExpiredOnNext();
  }

  function dropRun(task: TaskRecord, cause: string, isRefused = false): void {
    const {placement} = task;
    const loss =
      placement &&
      createRunLoss(placement, {
        cause,
        hostId: host.id,
        isRefused,
        placedOn: placedOn.get(task) ?? incarnation,
        latest: incarnation,
        namedEnds,
        answeredAt,
      });
    release(task);
    onLost(task, cause, loss);
  }

  function release(task: TaskRecord): void {
    if (!tasks.delete(task.name)) return;
    placedOn.delete(task);
    usage.remove(task);
    room.starting.delete(task);
    releaseRoom(room, task.step, task.group);
  }

  function track(task: TaskRecord): void {
    if (tasks.has(task.name)) return;
    tasks.set(task.name, task);
    placedOn.set(task, incarnation);
    usage.add(task);
  }

  function isCurrent(task: TaskRecord, placement: Placement): boolean {
    return (
      !abort.signal.aborted &&
      task.placement === placement &&
      tasks.get(task.name) === task
    );
  }

  /** It is unknown whether the run has started, so it must be stopped. */
  function handleOrderError(
    error: unknown,
    task: TaskRecord,
    placement: Placement,
  ): void {
    handleError(error);
    sendStop(task, placement);
  }

  function sendStop(task: TaskRecord, placement: Placement): void {
    runInBackground(
      () => orders.stop(task, placement),
      error => {
        handleError(error);
        handleSettled(placement);
      },
    );
  }

  /**
   * Marks a run as settled: all reports requested from now on must list it or
   * its end.
   */
  function handleSettled(placement: Placement): void {
    confirm(placement);
    placement.lastUnsettledReport = Math.min(
      placement.lastUnsettledReport,
      reports,
    );
    startHolding();
  }

  startHolding();

  return {
    get room() {
      return room;
    },
    tasks,
    update(next) {
      registered = next !== undefined;
      if (!next) return;
      if (incarnation.bornAt !== 0 && next.bornAt > incarnation.bornAt) {
        // The new incarnation has to report before it gets tasks or leases.
        incarnation.reached = false;
      }
      host = next;
      updateAddress();
      room = createHostRoom(next, tasks.values());
      startHolding();
    },
    isUsable: () =>
      registered &&
      incarnation.reached &&
      !gone &&
      !cordoned &&
      !host.draining &&
      performance.now() > suspectUntil,
    cordon(value) {
      cordoned = value;
    },
    isCordoned: () => cordoned,
    isGone: () => gone,
    get reportedAt() {
      return incarnation.reportedAt;
    },
    get answeredAt() {
      return answeredAt;
    },
    get bornAt() {
      return incarnation.bornAt;
    },
    adopt(task) {
      track(task);
      reserveRoom(room, task.step, task.group);
      room.starting.add(task);
      startHolding();
    },
    add: track,
    start(task, ticket) {
      const {placement} = task;
      if (!placement || !isCurrent(task, placement)) return;
      if (placement.stopping) return dropRun(task, 'stopped before start');
      placement.orderedAt = performance.now();
      placement.isOrdered = true;
      startHolding();
      runInBackground(
        () => orders.start(task, placement, ticket),
        error => handleOrderError(error, task, placement),
      );
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
      onStop(task, cause);
      placement.stopping = true;
      // A pending start order sends the stop itself when its retry loop ends.
      if (placement.lastUnsettledReport !== Infinity || placement.confirmed) {
        sendStop(task, placement);
      }
    },
    pace(task, percent) {
      const {placement} = task;
      if (!placement || placement.pace === percent) return;
      runInBackground(() => orders.pace(task, placement, percent), handleError);
    },
    markGone: handleGone,
    isIdle: () => tasks.size === 0 && !registered,
    dispose: () => abort.abort(),
  };
}

function confirm(placement: Placement): void {
  if (!placement.confirmed) placement.confirmedAt = performance.now();
  placement.confirmed = true;
}
