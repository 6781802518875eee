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
import {Mirror, delay} from '../../state';
import {Log} from '../../telemetry';
import {
  FleetConfiguration,
  Machine,
  MachineState,
  MaintenanceWave,
} from '../../types/workflow';
import {Coordinator} from './coordinator';
import {HostSession} from './host_session';
import {
  FleetSnapshot,
  createMachineViews,
  getUtilization,
  measurePoolCpu,
} from './machine_views';
import {createOrderLog} from './order_log';
import {createWaveRecords} from './wave_records';

/** Carries out waves and moves machines between pools, for one term. */
export interface MachineKeeper {
  dispose(): void;
}

/** Times that bind the keeper, in ms. */
export interface MachineTimes {
  readonly upkeepMs: number;
  readonly moveMs: number;
  /** Least time between two orders of different holders for a machine. */
  readonly holderGapMs: number;
}

/** What the keeper needs. */
export interface MachineKeeperOptions {
  readonly store: Store;
  readonly machines: Machines;
  readonly waves: Mirror<MaintenanceWave>;
  readonly coordinator: Coordinator;
  readonly holder: MachineOrderHolder;
  /** Age in ms of the store's last word on the term. */
  readonly getTermAgeMs: () => number;
  readonly getConfiguration: () => FleetConfiguration | undefined;
  readonly times: MachineTimes;
  /** Tells the operator how far a wave is. */
  readonly reportWave: (wave: number, complete: boolean) => Promise<boolean>;
  readonly log: Log;
}

interface Order {
  readonly at: number;
  readonly wave: number | undefined;
  /** Sessions with the lives that the order ends. */
  readonly sessions: readonly HostSession[];
  answered: boolean;
}

/** Time between two looks at waves and pools, in ms: far below the time of a move. */
const REVIEW_INTERVAL_MS = 100;
/** Time between two reads of the list of machines in ms, while orders are under way and otherwise. */
const BUSY_LIST_INTERVAL_MS = 400;
const IDLE_LIST_INTERVAL_MS = 2_000;
/** Age in ms of the store's word on the term up to which orders are given: less than the shortest lease by an order's way. */
const MAX_TERM_AGE_MS = 900;
/** Time in ms after which tasks that last are moved, and others are stopped, on a machine that waits for upkeep. */
const FORCED_STOP_DELAY_MS = 2_500;
/** Time in ms that an order may take to show in the list of machines. */
const LIST_DELAY_MS = 1_000;
/** Added in ms to the distance from an earlier holder's orders: calls take their way. */
const HOLDER_SLACK_MS = 250;
/** Share of the machines per pool that a pool keeps in quiet times. */
const MIN_POOL_SHARE = 0.5;
/** Idle time in ms after which a machine costs more than two moves, by the users' prices. */
const RELEASE_IDLE_MS = 2_200;

/**
 * Creates the keeper of a term and starts it.
 *
 * It gives no order before any earlier holder's last one is a safe time ago.
 *
 * @param options ports, term and times
 */
export function createMachineKeeper({
  store,
  machines: machinesPort,
  waves,
  coordinator,
  holder,
  getTermAgeMs,
  getConfiguration,
  times,
  reportWave,
  log,
}: MachineKeeperOptions): MachineKeeper {
  const abort = new AbortController();
  const views = createMachineViews(coordinator, getConfiguration);
  const waveRecords = createWaveRecords(
    store,
    holder.fence,
    waves,
    reportWave,
    log,
  );
  const orders = new Map<string, Order>();
  const cordonedAt = new Map<string, number>();
  const orderLog = createOrderLog(
    store,
    holder.fence,
    times.holderGapMs + MAX_TERM_AGE_MS + HOLDER_SLACK_MS,
  );
  /** Orders that were decided in a review, to be given once they are noted. */
  let queuedOrders: QueuedOrder[] = [];
  let list: readonly Machine[] = [];
  let listedAt = 0;
  let listing = false;

  async function run(): Promise<void> {
    while (!abort.signal.aborted) {
      await delay(REVIEW_INTERVAL_MS, abort.signal);
      if (abort.signal.aborted) return;
      if (!coordinator.isReady()) continue;
      await waveRecords.load();
      refreshList();
      review();
    }
  }

  function refreshList(): void {
    const age = performance.now() - listedAt;
    const busy = orders.size > 0 || waveRecords.hasOpen();
    if (listing || age < (busy ? BUSY_LIST_INTERVAL_MS : IDLE_LIST_INTERVAL_MS))
      return;
    listing = true;
    const now = performance.now();
    void machinesPort.list().then(answer => {
      listing = false;
      listedAt = now;
      if (answer.isErr) return;
      list = answer.value;
      views.setList(list);
      settleOrders(now);
    });
  }

  /** An order is over once the list shows its machine up again after the time that it takes. */
  function settleOrders(at: number): void {
    const listed = new Map(list.map(machine => [machine.id, machine]));
    for (const [id, order] of orders) {
      const takesMs = order.wave === undefined ? times.moveMs : times.upkeepMs;
      if (!order.answered || at < order.at + takesMs) continue;
      const machine = listed.get(id);
      const over = at > order.at + takesMs + LIST_DELAY_MS;
      if (machine && machine.state !== MachineState.Up && !over) continue;
      orders.delete(id);
      markHostsGone(order, machine?.hostId ?? '');
    }
  }

  /** The registry may list a life for seconds after an order has ended it. */
  function markHostsGone({sessions}: Order, livingHostId: string): void {
    for (const session of sessions) {
      if (session.room.host.id === livingHostId) continue;
      session.markGone('an order for its machine ended it');
    }
  }

  function isOrdered(machine: string): boolean {
    return orders.has(machine) || !orderLog.mayOrder(machine);
  }

  function review(): void {
    if (getTermAgeMs() >= MAX_TERM_AGE_MS || list.length === 0) return;
    const snapshot = views.takeSnapshot(isOrdered);
    coordinator.setPoolCpuMillis(measurePoolCpu(snapshot));
    const wanted = reviewWaves(snapshot);
    reviewPools(snapshot, wanted);
    void sendOrders();
  }

  /** Gives the orders of a review, once the store has noted them under this term. */
  async function sendOrders(): Promise<void> {
    const due = queuedOrders;
    queuedOrders = [];
    if (due.length === 0) return;
    const machines = due.map(({machine}) => machine);
    if (await orderLog.record(machines)) {
      for (const {send: give} of due) void give();
      return;
    }
    log.warn('machine', {decision: 'give up', machines: machines.length});
    for (const machine of machines) orders.delete(machine);
  }

  /** Returns the machines that waves want, which pools leave alone. */
  function reviewWaves(snapshot: FleetSnapshot): ReadonlySet<string> {
    const wanted = new Set<string>();
    for (const wave of waveRecords.listOpen()) {
      const isDown = (id: string) => orders.get(id)?.wave === wave.number;
      const plan = planWave(
        waveRecords.view(wave, snapshot.machines, isDown),
        snapshot.machines,
        pool => getUtilization(pool, snapshot),
        times.upkeepMs,
      );
      if (plan.complete) void waveRecords.complete(wave);
      for (const id of plan.cordon) {
        wanted.add(id);
        drain(id);
      }
      for (const id of plan.service) {
        wanted.add(id);
        if (!reserve(id, wave.number)) continue;
        queuedOrders.push({machine: id, send: () => sendUpkeepOrder(id, wave)});
      }
    }
    for (const id of cordonedAt.keys()) {
      if (wanted.has(id) || orders.has(id)) continue;
      cordonedAt.delete(id);
      for (const session of views.listSessions(id)) session.cordon(false);
    }
    return wanted;
  }

  /** Keeps new tasks away, moves those that last, and stops the rest after a while. */
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
        if (mayStop(task, now - since)) session.stop(task, 'upkeep');
      }
    }
  }

  function mayStop(task: TaskRecord, waitedMs: number): boolean {
    if (!task.step.lasting) return waitedMs > FORCED_STOP_DELAY_MS;
    return coordinator.hasRoomElsewhere(task) && coordinator.mayEnd(task);
  }

  async function sendUpkeepOrder(
    machine: string,
    wave: MaintenanceWave,
  ): Promise<void> {
    const answer = await machinesPort.service(machine, wave.number, holder);
    const failure = answer.isOk ? undefined : answer.error;
    handleOutcome(machine, 'upkeep', failure);
    const over =
      failure === undefined || failure === MachineOrderFailure.Impossible;
    if (over) await waveRecords.noteServiced(wave, machine);
  }

  function reviewPools(
    {machines, pools, machineCpuMillis}: FleetSnapshot,
    wanted: ReadonlySet<string>,
  ): void {
    const free = [...machines.values()].filter(({id}) => !wanted.has(id));
    const size = machines.size / Math.max(1, pools.length);
    const moves = planPools(pools, free, {
      machineCpuMillis,
      floor: Math.ceil(size * MIN_POOL_SHARE),
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
    const answer = await machinesPort.move(machine, to, holder);
    handleOutcome(machine, 'move', answer.isOk ? undefined : answer.error);
  }

  /** Reserves an empty machine for an order; no task goes there any more. */
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
  }

  void run();
  return {
    dispose() {
      abort.abort();
      orderLog.dispose();
    },
  };
}

/** An order that waits to be noted. */
interface QueuedOrder {
  readonly machine: string;
  readonly send: () => Promise<void>;
}
