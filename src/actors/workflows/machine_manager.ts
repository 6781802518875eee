import {
  MachineMove,
  TaskRecord,
  planPools,
  planWave,
} from '../../decisions/workflows';
import {Store} from '../../ports';
import {
  MachineOrderFailure,
  MachineOrderHolder,
  Machines,
} from '../../ports/hosts';
import {Mirror, createAbsenceTracker, delay, startStopwatch} from '../../state';
import {Log} from '../../telemetry';
import {
  FleetConfiguration,
  Machine,
  MachineState,
  MaintenanceWave,
} from '../../types/workflow';
import {Coordinator} from './coordinator';
import {HostEnd} from './host_end';
import {HostSession} from './host_session';
import {getWaveKey} from './keys';
import {
  FleetSnapshot,
  createMachineViews,
  getUtilization,
  measurePoolCpu,
} from './machine_views';
import {createOrderLog} from './order_log';
import {OrderSightings} from './order_sightings';
import {createPoolLog} from './pool_log';
import {TermErrors} from './term_errors';
import {createWaveRecords} from './wave_records';
import {WaveStatus} from './wave_status';

/**
 * Carries out maintenance waves and moves machines between pools during one
 * leadership term.
 */
export interface MachineManager {
  dispose(): void;
}

/** Durations of machine orders, in ms. */
export interface MachineTimes {
  readonly upkeepMs: number;
  readonly moveMs: number;
  /** Minimum time between orders of different holders for the same machine. */
  readonly holderGapMs: number;
}

/** Dependencies and settings of a machine manager. */
export interface MachineManagerOptions {
  readonly store: Store;
  readonly machines: Machines;
  readonly waves: Mirror<MaintenanceWave>;
  readonly coordinator: Coordinator;
  /** Machine orders that this member has seen before its term. */
  readonly orderSightings: OrderSightings;
  readonly holder: MachineOrderHolder;
  /** Returns the time in ms since the store last confirmed the term. */
  readonly getTermAgeMs: () => number;
  readonly getConfiguration: () => FleetConfiguration | undefined;
  /** Returns the current Unix time in ms. */
  readonly unixNow: () => number;
  readonly times: MachineTimes;
  /** Returns the entry in which the operator reads the state of a wave. */
  readonly createWaveStatus: WaveStatus;
  readonly log: Log;
  readonly errors: TermErrors;
}

/** An order for a machine that is not completed yet. */
interface Order {
  /** Monotonic time in ms at which the machine was reserved. */
  readonly at: number;
  /** Maintenance wave of an upkeep order; undefined for a move. */
  readonly wave: number | undefined;
  /** Sessions with the host incarnations that the order ends. */
  readonly sessions: readonly HostSession[];
  answered: boolean;
}

/**
 * Interval between reviews of waves and pools, in ms; short compared with the
 * duration of a move.
 */
const REVIEW_INTERVAL_MS = 100;
/**
 * Intervals between reads of the machine list, in ms: while orders or waves are
 * open, and otherwise.
 */
const BUSY_REFRESH_INTERVAL_MS = 400;
const IDLE_REFRESH_INTERVAL_MS = 2_000;
/**
 * Maximum time in ms since the store last confirmed the term for which orders
 * are sent: the minimum leader lease less the transmission time of an order.
 */
const MAX_TERM_AGE_MS = 900;
/**
 * Maximum time in ms between the record of an order and the order; a later
 * holder counts the gap from the time at which it saw the record.
 */
const MAX_SEND_DELAY_MS = 900;
/**
 * Time in ms for which tasks that end by themselves may continue on a cordoned
 * machine that waits for upkeep.
 */
const FORCED_STOP_DELAY_MS = 2_500;
/** Maximum delay in ms until a completed order shows in the machine list. */
const MAX_LIST_DELAY_MS = 1_000;
/**
 * Time in ms for which machine lists must lack a machine before it counts as
 * gone; several lists, and longer than a change takes to show in them.
 */
const GONE_CONFIRMATION_MS = 3_000;
/**
 * Margin in ms added to the gap after an earlier holder's orders, for calls
 * still in transit.
 */
const HOLDER_SLACK_MS = 250;
/**
 * Share of the mean number of machines per pool that each pool keeps even when
 * it is idle.
 */
const MIN_POOL_SHARE = 0.5;
/**
 * Idle time in ms after which keeping a machine costs more than two moves, at
 * the prices specified by the users.
 */
const RELEASE_IDLE_MS = 2_200;

/**
 * Creates the machine manager of a term and starts it.
 *
 * No order is sent for a machine until a safe time after the last order of an
 * earlier holder.
 *
 * @param options ports, term and times
 */
export function createMachineManager({
  store,
  machines: port,
  waves,
  coordinator,
  orderSightings,
  holder,
  getTermAgeMs,
  getConfiguration,
  unixNow,
  times,
  createWaveStatus,
  log,
  errors,
}: MachineManagerOptions): MachineManager {
  const abort = new AbortController();
  const views = createMachineViews(coordinator, getConfiguration, unixNow);
  const waveRecords = createWaveRecords(
    store,
    holder.fence,
    waves,
    createWaveStatus,
    unixNow,
    log,
    errors,
  );
  const poolLog = createPoolLog(log, REVIEW_INTERVAL_MS);
  const orders = new Map<string, Order>();
  const cordonedAt = new Map<string, number>();
  const orderLog = createOrderLog(
    store,
    holder.fence,
    times.holderGapMs + MAX_SEND_DELAY_MS + HOLDER_SLACK_MS,
    unixNow,
    orderSightings,
    errors,
  );
  /** Orders decided in a review, sent once they are recorded in the store. */
  let queuedOrders: QueuedOrder[] = [];
  const absences = createAbsenceTracker(GONE_CONFIRMATION_MS);
  /**
   * Monotonic times in ms at which the platform denied that a machine exists.
   */
  const deniedAt = new Map<string, number>();
  let list: readonly Machine[] = [];
  let listRequestedAt = 0;
  let listing = false;

  async function run(): Promise<void> {
    while (!abort.signal.aborted) {
      await delay(REVIEW_INTERVAL_MS, abort.signal);
      if (abort.signal.aborted) return;
      if (!coordinator.isReady()) continue;
      await reviewOnce().catch(error => errors.fail('machine review', error));
    }
  }

  async function reviewOnce(): Promise<void> {
    await waveRecords.load();
    refreshList();
    review();
  }

  function refreshList(): void {
    const ageMs = performance.now() - listRequestedAt;
    const busy = orders.size > 0 || waveRecords.hasOpen();
    if (
      listing ||
      ageMs < (busy ? BUSY_REFRESH_INTERVAL_MS : IDLE_REFRESH_INTERVAL_MS)
    )
      return;
    listing = true;
    const now = performance.now();
    errors.run('machine list', async () => {
      const answer = await port.list();
      listing = false;
      listRequestedAt = now;
      if (answer.isErr) return;
      list = answer.value;
      const ids = list.map(({id}) => id);
      // An empty list says nothing about single machines.
      if (ids.length > 0) absences.record(ids, now);
      views.setList(list);
      settleOrders(now);
    });
  }

  /**
   * Removes completed orders: those whose expected duration has passed and
   * whose machine is up again, has left or is overdue in the list.
   */
  function settleOrders(at: number): void {
    const listed = new Map(list.map(machine => [machine.id, machine]));
    for (const [id, order] of orders) {
      const durationMs =
        order.wave === undefined ? times.moveMs : times.upkeepMs;
      if (!order.answered || at < order.at + durationMs) continue;
      const machine = listed.get(id);
      const isOverdue = at > order.at + durationMs + MAX_LIST_DELAY_MS;
      const {state = MachineState.Unknown} = machine ?? {};
      const isSettled =
        state === MachineState.Unknown
          ? !machine && hasLeft(id, order.at)
          : state === MachineState.Up || isOverdue;
      if (!isSettled) continue;
      orders.delete(id);
      markHostsGone(order, machine?.hostId ?? '');
    }
  }

  /**
   * Marks the hosts that an order has ended as gone, as the registry may list
   * them for seconds longer.
   */
  function markHostsGone({sessions}: Order, liveHostId: string): void {
    for (const session of sessions) {
      if (session.room.host.id === liveHostId) continue;
      session.markGone('ended by an order for its machine', HostEnd.Ordered);
    }
  }

  /**
   * Returns whether a machine has left the fleet: neither machine lists nor its
   * hosts have shown it for long enough.
   *
   * @param since monotonic time in ms from which it is looked for
   */
  function hasLeft(machine: string, since: number): boolean {
    if (!absences.hasLeft(machine, since)) return false;
    return absences.hasLeft(machine, views.getLastAnswerAt(machine));
  }

  function isOrdered(machine: string): boolean {
    return (
      orders.has(machine) || !orderLog.mayOrder(machine) || isDenied(machine)
    );
  }

  /**
   * Returns whether no list since the platform denied that a machine exists
   * shows it.
   */
  function isDenied(machine: string): boolean {
    const at = deniedAt.get(machine);
    return at !== undefined && at >= absences.getLastBeganAt();
  }

  function review(): void {
    if (getTermAgeMs() >= MAX_TERM_AGE_MS || list.length === 0) return;
    const snapshot = views.takeSnapshot(isOrdered);
    coordinator.setPoolCpuMillis(measurePoolCpu(snapshot));
    poolLog.review(snapshot, () => coordinator.readPools());
    orderLog.review();
    const reserved = reviewWaves(snapshot);
    reviewPools(snapshot, reserved);
    errors.run('machine orders', sendOrders);
  }

  /**
   * Sends the queued orders once they are recorded in the store under this
   * term; discards them if recording fails or takes too long, and those for
   * machines on which tasks have been placed meanwhile.
   */
  async function sendOrders(): Promise<void> {
    const due = queuedOrders;
    queuedOrders = [];
    if (due.length === 0) return;
    const machines = due.map(({machine}) => machine);
    const getRecordMs = startStopwatch();
    const recorded = await orderLog.record(machines);
    // The process may have been paused, or the store slow, since the review.
    const isInTime =
      getTermAgeMs() < MAX_TERM_AGE_MS && getRecordMs() < MAX_SEND_DELAY_MS;
    const isValid = recorded && isInTime;
    if (!isValid) {
      log.warn('machine', {decision: 'give up', machines: machines.length});
    }
    for (const {machine, send} of due) {
      if (isValid && isEmpty(machine)) errors.run('machine orders', send);
      else orders.delete(machine);
    }
  }

  /** Returns whether a machine that was reserved still has no tasks. */
  function isEmpty(machine: string): boolean {
    const tasks = views.listTasks(machine).length;
    if (tasks === 0) return true;
    const cause = 'tasks were placed on it';
    log.warn('machine', {machine, decision: 'give up', cause, tasks});
    return false;
  }

  /**
   * Reviews the open waves and returns the machines reserved for them, which
   * are not moved between pools.
   */
  function reviewWaves(snapshot: FleetSnapshot): ReadonlySet<string> {
    const reserved = new Set<string>();
    for (const wave of waveRecords.listOpen()) {
      try {
        reviewWave(wave, snapshot, reserved);
      } catch (error) {
        errors.ignore(getWaveKey(wave.number), error);
      }
    }
    for (const id of cordonedAt.keys()) {
      if (reserved.has(id) || orders.has(id)) continue;
      cordonedAt.delete(id);
      for (const session of views.listSessions(id)) session.cordon(false);
    }
    return reserved;
  }

  function reviewWave(
    wave: MaintenanceWave,
    snapshot: FleetSnapshot,
    reserved: Set<string>,
  ): void {
    const isDown = (id: string) => orders.get(id)?.wave === wave.number;
    const progress = waveRecords.view(
      wave,
      snapshot.machines,
      isDown,
      (id, since) => !orders.has(id) && hasLeft(id, since),
    );
    const plan = planWave(
      progress,
      snapshot.machines,
      pool => getUtilization(pool, snapshot),
      times.upkeepMs,
    );
    if (plan.complete) {
      const listAgeMs = performance.now() - absences.getLastBeganAt();
      errors.run('wave', () => waveRecords.complete(progress, listAgeMs));
    }
    for (const id of plan.cordon) {
      reserved.add(id);
      drain(id);
    }
    for (const id of plan.service) {
      reserved.add(id);
      if (!reserve(id, wave.number)) continue;
      queuedOrders.push({machine: id, send: () => sendUpkeepOrder(id, wave)});
    }
  }

  /**
   * Cordons a machine's hosts, stops long-running tasks that can continue
   * elsewhere, and stops the remaining tasks after a delay.
   */
  function drain(machine: string): void {
    const now = performance.now();
    if (!cordonedAt.has(machine)) {
      cordonedAt.set(machine, now);
      log.info('machine', {machine, decision: 'cordon', cause: 'upkeep'});
    }
    const since = cordonedAt.get(machine) ?? now;
    for (const session of views.listSessions(machine)) {
      session.cordon(true);
      for (const task of session.tasks.values()) {
        drainTask(task, now - since);
      }
    }
  }

  function drainTask(task: TaskRecord, waitedMs: number): void {
    const isDue = task.step.lasting
      ? coordinator.hasRoomElsewhere(task)
      : waitedMs > FORCED_STOP_DELAY_MS;
    if (isDue) coordinator.disruptions.stopForUpkeep(task);
  }

  async function sendUpkeepOrder(
    machine: string,
    wave: MaintenanceWave,
  ): Promise<void> {
    const answer = await port.service(machine, wave.number, holder);
    const failure = answer.isOk ? undefined : answer.error;
    handleOutcome(machine, 'upkeep', failure);
    if (answer.isOk) await waveRecords.recordServiced(wave, machine);
  }

  function reviewPools(
    {machines, pools, machineCpuMillis}: FleetSnapshot,
    reserved: ReadonlySet<string>,
  ): void {
    const free = [...machines.values()].filter(({id}) => !reserved.has(id));
    const size = machines.size / Math.max(1, pools.length);
    const moves = planPools(pools, free, {
      machineCpuMillis,
      minMachines: Math.ceil(size * MIN_POOL_SHARE),
      releaseAfterMs: RELEASE_IDLE_MS,
    });
    for (const move of moves) {
      const {machine} = move;
      if (!reserve(machine, undefined)) continue;
      queuedOrders.push({machine, send: () => sendMoveOrder(move)});
    }
  }

  async function sendMoveOrder({
    machine,
    from,
    to,
  }: MachineMove): Promise<void> {
    log.info('machine', {machine, decision: 'move', from, to});
    const answer = await port.move(machine, to, holder);
    handleOutcome(machine, 'move', answer.isOk ? undefined : answer.error);
  }

  /**
   * Reserves an empty machine for an order and cordons its hosts; returns false
   * if tasks are placed on it.
   */
  function reserve(machine: string, wave: number | undefined): boolean {
    if (views.listTasks(machine).length > 0) return false;
    const sessions = views.listSessions(machine);
    for (const session of sessions) session.cordon(true);
    cordonedAt.set(machine, performance.now());
    const at = performance.now();
    orders.set(machine, {at, wave, sessions, answered: false});
    return true;
  }

  function handleOutcome(
    machine: string,
    order: string,
    failure: MachineOrderFailure | undefined,
  ): void {
    log.info('machine', {machine, order, outcome: failure ?? 'done'});
    const pending = orders.get(machine);
    if (pending) pending.answered = true;
    views.restartIdleTime(machine);
    if (failure === undefined || failure === MachineOrderFailure.NoAnswer) {
      return;
    }
    orders.delete(machine);
    if (failure === MachineOrderFailure.Impossible) {
      deniedAt.set(machine, performance.now());
    }
  }

  errors.run('machine review', run);
  return {
    dispose() {
      abort.abort();
      orderLog.dispose();
    },
  };
}

/** An order that is sent once it is recorded in the store. */
interface QueuedOrder {
  readonly machine: string;
  readonly send: () => Promise<void>;
}
