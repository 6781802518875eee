import {
  MachineMove,
  MachineView,
  PoolView,
  TaskPhase,
  TaskRecord,
  WaveView,
  isFinal,
  listOpenGroups,
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
import {getWaveKey} from './keys';
import {createOrderLog} from './order_log';

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
const REVIEW_MS = 100;
/** Time between two reads of the list of machines in ms, while orders are under way and otherwise. */
const BUSY_LIST_MS = 400;
const CALM_LIST_MS = 2_000;
/** Age in ms of the store's word on the term up to which orders are given: less than the shortest lease by an order's way. */
const AUTHORITY_MS = 900;
/** Time in ms after which tasks that last are moved, and others are stopped, on a machine that waits for upkeep. */
const EMPTY_BY_FORCE_MS = 2_500;
/** Time in ms that an order may take to show in the list of machines. */
const SETTLE_MS = 1_000;
/** Added in ms to the distance from an earlier holder's orders: calls take their way. */
const HOLDER_SLACK_MS = 250;
/** Share of the machines per pool that a pool keeps in quiet times. */
const FLOOR_SHARE = 0.5;
/** Time in ms for which a leader leaves pools as they are whose work it has not seen yet: the longest pause between the turns of a queue. */
const LEARN_MS = 30_000;
/** Idle time in ms after which a machine costs more than two moves, by the users' prices. */
const RELEASE_AFTER_MS = 2_200;

/**
 * Creates the keeper of a term and starts it.
 *
 * It gives no order before any earlier holder's last one is a safe time ago.
 *
 * @param options ports, term and times
 */
export function createMachineKeeper({
  store,
  machines: port,
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
  const startedAt = performance.now();
  const orders = new Map<string, Order>();
  const serviced = new Map<number, Set<string>>();
  const reported = new Map<number, boolean>();
  const cordonedAt = new Map<string, number>();
  const idleSince = new Map<string, number>();
  const orderLog = createOrderLog(
    store,
    holder.fence,
    times.holderGapMs + AUTHORITY_MS + HOLDER_SLACK_MS,
  );
  /** Orders that were decided in a review, to be given once they are noted. */
  let decided: Decided[] = [];
  let list: readonly Machine[] = [];
  let listedAt = 0;
  let listing = false;

  async function run(): Promise<void> {
    while (!abort.signal.aborted) {
      await delay(REVIEW_MS, abort.signal);
      if (abort.signal.aborted) return;
      if (!coordinator.isReady()) continue;
      await loadWaves();
      refreshList();
      review();
    }
  }

  function refreshList(): void {
    const age = performance.now() - listedAt;
    const busy = orders.size > 0 || hasOpenWave();
    if (listing || age < (busy ? BUSY_LIST_MS : CALM_LIST_MS)) return;
    listing = true;
    const askedAt = performance.now();
    void port.list().then(answer => {
      listing = false;
      listedAt = askedAt;
      if (answer.isErr) return;
      list = answer.value;
      settleOrders(askedAt);
    });
  }

  /** An order is over once the list shows its machine up again after the time that it takes. */
  function settleOrders(askedAt: number): void {
    const listed = new Map(list.map(machine => [machine.id, machine]));
    for (const [id, order] of orders) {
      const takesMs = order.wave === undefined ? times.moveMs : times.upkeepMs;
      if (!order.answered || askedAt < order.at + takesMs) continue;
      const machine = listed.get(id);
      const over = askedAt > order.at + takesMs + SETTLE_MS;
      if (machine && machine.state !== MachineState.Up && !over) continue;
      orders.delete(id);
      endLives(order, machine?.hostId ?? '');
    }
  }

  /** The registry may list a life for seconds after an order has ended it. */
  function endLives({sessions}: Order, livingHostId: string): void {
    for (const session of sessions) {
      if (session.room.host.id === livingHostId) continue;
      session.conclude('an order for its machine ended it');
    }
  }

  function hasOpenWave(): boolean {
    for (const {value} of waves.entries.get().values()) {
      if (!reported.get(value.number)) return true;
    }
    return false;
  }

  /** Reads which machines an earlier leader has serviced for a wave. */
  async function loadWaves(): Promise<void> {
    for (const {value: wave} of waves.entries.get().values()) {
      if (serviced.has(wave.number)) continue;
      const found = await store.get(getWaveKey(wave.number));
      if (found.isErr) return;
      const record = found.value
        ? (JSON.parse(found.value.value) as StoredWave)
        : {startedAt: Date.now(), serviced: []};
      serviced.set(wave.number, new Set(record.serviced));
      startTimes.set(wave.number, record.startedAt);
      if (!found.value) {
        log.info('wave', {wave: wave.number, decision: 'started'});
        void storeWave(wave.number);
        void reportWave(wave.number, false);
      }
    }
  }

  const startTimes = new Map<number, number>();

  async function storeWave(number: number): Promise<void> {
    const record: StoredWave = {
      startedAt: startTimes.get(number) ?? Date.now(),
      serviced: [...(serviced.get(number) ?? [])],
    };
    await store.transact({
      conditions: new Map(),
      puts: [{key: getWaveKey(number), value: JSON.stringify(record)}],
      removals: [],
    });
  }

  function mayOrder(): boolean {
    return getTermAgeMs() < AUTHORITY_MS && listedAt > startedAt;
  }

  function review(): void {
    if (!mayOrder() || list.length === 0) return;
    const views = new Map(list.map(machine => [machine.id, view(machine)]));
    const pools = viewPools();
    coordinator.setRoom(measureRoom(views, pools));
    const wanted = reviewWaves(views, pools);
    reviewPools(views, pools, wanted);
    void giveOrders();
  }

  /** Gives the orders of a review, once the store has noted them under this term. */
  async function giveOrders(): Promise<void> {
    const due = decided;
    decided = [];
    if (due.length === 0) return;
    const machines = due.map(({machine}) => machine);
    if (await orderLog.note(machines)) {
      for (const {give} of due) void give();
      return;
    }
    log.warn('machine', {decision: 'give up', machines: machines.length});
    for (const machine of machines) orders.delete(machine);
  }

  function view(machine: Machine): MachineView {
    const session = coordinator.sessions.get(machine.hostId);
    const tasks = listTasks(machine.id);
    const now = performance.now();
    if (tasks.length > 0 || !idleSince.has(machine.id)) {
      idleSince.set(machine.id, now);
    }
    return {
      id: machine.id,
      pool: machine.pool,
      state: machine.state,
      hostId: machine.hostId,
      tasks: tasks.length,
      lasting: tasks.filter(task => task.step.lasting).length,
      serves: session ? session.isUsable() : isArriving(machine),
      cordoned: session?.isCordoned() ?? false,
      idleMs: now - (idleSince.get(machine.id) ?? now),
      ordered: orders.has(machine.id) || !orderLog.mayOrder(machine.id),
    };
  }

  /** Returns the tasks on all lives of a machine, as the list may be older than a session. */
  function listTasks(machine: string): readonly TaskRecord[] {
    return listSessions(machine).flatMap(session => [
      ...session.tasks.values(),
    ]);
  }

  /** A machine that moves, or has moved and not registered yet, will serve. */
  function isArriving({id, state}: Machine): boolean {
    if (state === MachineState.Moving) return true;
    return state === MachineState.Up && orders.has(id);
  }

  /** A session whose host isn't registered knows its machine from the list only. */
  function listSessions(machine: string): readonly HostSession[] {
    const {hostId} = list.find(({id}) => id === machine) ?? {};
    const found = [...coordinator.sessions.values()].filter(
      ({room}) => room.host.machine === machine || room.host.id === hostId,
    );
    return found.filter(session => !session.isGone());
  }

  function viewPools(): readonly PoolView[] {
    const demand = new Map<string, number>();
    const least = new Map<string, number>();
    for (const record of coordinator.records.values()) {
      if (isFinal(record.state)) continue;
      const {pool} = record.workflow;
      let sum = demand.get(pool) ?? 0;
      for (const group of listOpenGroups(record, Date.now())) {
        const {perHostLimit, lasting} = group[0].step;
        if (lasting && perHostLimit > 0) {
          const apart = Math.ceil(group.length / perHostLimit);
          least.set(pool, Math.max(apart, least.get(pool) ?? 0));
        }
        for (const {phase, step} of group) {
          if (phase !== TaskPhase.Done && !step.fills) sum += step.cpuMillis;
        }
      }
      demand.set(pool, sum);
    }
    const configured = getConfiguration()?.pools ?? new Map();
    const now = performance.now();
    const learnt = now > startedAt + LEARN_MS;
    return [...configured.values()].map(({name, spare}) => ({
      name,
      spare,
      demandCpuMillis: demand.get(name) ?? 0,
      expectedCpuMillis: coordinator.forecast.expect(name, now),
      leastHosts: least.get(name) ?? 0,
      knownMs: learnt ? LEARN_MS : coordinator.forecast.getKnownMs(name, now),
    }));
  }

  /** Room that each pool could have: all machines that are up, less what the others work on. */
  function measureRoom(
    views: ReadonlyMap<string, MachineView>,
    pools: readonly PoolView[],
  ): ReadonlyMap<string, number> {
    let up = 0;
    for (const {state, serves, hostId} of views.values()) {
      const isOff = hostId === '' && state === MachineState.Up;
      if (isOff || serves) up += getMachineCpuMillis();
    }
    const demand = pools.reduce((sum, pool) => sum + pool.demandCpuMillis, 0);
    return new Map(
      pools.map(({name, demandCpuMillis}) => [
        name,
        Math.max(0, up - (demand - demandCpuMillis)),
      ]),
    );
  }

  function getUse(
    pool: string,
    pools: readonly PoolView[],
    views: ReadonlyMap<string, MachineView>,
  ): number {
    const demand = pools.find(({name}) => name === pool)?.demandCpuMillis ?? 0;
    let size = 0;
    for (const machine of views.values()) {
      if (machine.pool === pool && machine.hostId !== '') size += 1;
    }
    return demand / Math.max(1, size * getMachineCpuMillis());
  }

  function getMachineCpuMillis(): number {
    let sum = 0;
    let count = 0;
    for (const {room} of coordinator.sessions.values()) {
      if (room.host.capacity.cpuMillis === 0) continue;
      sum += room.host.capacity.cpuMillis;
      count += 1;
    }
    return count === 0 ? 1 : sum / count;
  }

  /** Returns the machines that waves want, which pools leave alone. */
  function reviewWaves(
    views: ReadonlyMap<string, MachineView>,
    pools: readonly PoolView[],
  ): ReadonlySet<string> {
    const wanted = new Set<string>();
    for (const {value: wave} of waves.entries.get().values()) {
      const done = serviced.get(wave.number);
      if (!done || reported.get(wave.number)) continue;
      const plan = planWave(
        viewWave(wave, done, views),
        views,
        pool => getUse(pool, pools, views),
        times.upkeepMs,
      );
      if (plan.complete) void complete(wave);
      for (const id of plan.cordon) {
        wanted.add(id);
        empty(id);
      }
      for (const id of plan.service) {
        wanted.add(id);
        service(id, wave, done);
      }
    }
    for (const id of cordonedAt.keys()) {
      if (wanted.has(id) || orders.has(id)) continue;
      cordonedAt.delete(id);
      for (const session of listSessions(id)) session.cordon(false);
    }
    return wanted;
  }

  function viewWave(
    wave: MaintenanceWave,
    done: ReadonlySet<string>,
    views: ReadonlyMap<string, MachineView>,
  ): WaveView {
    const down = wave.machines.filter(
      id =>
        orders.get(id)?.wave === wave.number ||
        views.get(id)?.state === MachineState.Upkeep,
    ).length;
    const endsAt = (startTimes.get(wave.number) ?? 0) + wave.durationMs;
    return {
      number: wave.number,
      machines: wave.machines,
      limit: wave.limit,
      remainingMs: endsAt - Date.now(),
      serviced: done,
      down,
    };
  }

  /** Keeps new tasks away, moves those that last, and stops the rest after a while. */
  function empty(machine: string): void {
    const now = performance.now();
    if (!cordonedAt.has(machine)) {
      cordonedAt.set(machine, now);
      log.info('machine', {machine, decision: 'cordon', cause: 'upkeep'});
    }
    const since = cordonedAt.get(machine) ?? now;
    for (const session of listSessions(machine)) {
      session.cordon(true);
      for (const task of session.tasks.values()) {
        if (mayStop(task, now - since)) session.stop(task, 'upkeep');
      }
    }
  }

  function mayStop(task: TaskRecord, waitedMs: number): boolean {
    if (!task.step.lasting) return waitedMs > EMPTY_BY_FORCE_MS;
    return coordinator.hasRoomElsewhere(task) && coordinator.mayEnd(task);
  }

  function service(
    machine: string,
    wave: MaintenanceWave,
    done: Set<string>,
  ): void {
    if (!take(machine, wave.number)) return;
    decided.push({machine, give: () => giveUpkeep(machine, wave, done)});
  }

  async function giveUpkeep(
    machine: string,
    wave: MaintenanceWave,
    done: Set<string>,
  ): Promise<void> {
    const answer = await port.service(machine, wave.number, holder);
    note(machine, 'upkeep', answer.isOk ? undefined : answer.error);
    const failure = answer.isOk ? undefined : answer.error;
    if (failure === MachineOrderFailure.Impossible) done.add(machine);
    if (failure !== undefined) return;
    done.add(machine);
    await storeWave(wave.number);
  }

  async function complete(wave: MaintenanceWave): Promise<void> {
    reported.set(wave.number, true);
    log.info('wave', {wave: wave.number, decision: 'completed'});
    const told = await reportWave(wave.number, true);
    if (!told) reported.delete(wave.number);
  }

  function reviewPools(
    views: ReadonlyMap<string, MachineView>,
    pools: readonly PoolView[],
    wanted: ReadonlySet<string>,
  ): void {
    const free = [...views.values()].filter(({id}) => !wanted.has(id));
    const moves = planPools(pools, free, {
      machineCpuMillis: getMachineCpuMillis(),
      floor: Math.ceil((views.size / Math.max(1, pools.length)) * FLOOR_SHARE),
      releaseAfterMs: RELEASE_AFTER_MS,
    });
    for (const move of moves) {
      const {machine} = move;
      if (!take(machine, undefined)) continue;
      decided.push({machine, give: () => giveMove(move)});
    }
  }

  async function giveMove({machine, from, to}: MachineMove): Promise<void> {
    log.info('machine', {machine, decision: 'move', from, to});
    const answer = await port.move(machine, to, holder);
    note(machine, 'move', answer.isOk ? undefined : answer.error);
  }

  /** Reserves an empty machine for an order; no task goes there any more. */
  function take(machine: string, wave: number | undefined): boolean {
    if (listTasks(machine).length > 0) return false;
    const sessions = listSessions(machine);
    for (const session of sessions) session.cordon(true);
    cordonedAt.set(machine, performance.now());
    const at = performance.now();
    orders.set(machine, {at, wave, sessions, answered: false});
    return true;
  }

  function note(
    machine: string,
    order: string,
    failure: MachineOrderFailure | undefined,
  ): void {
    log.info('machine', {machine, order, outcome: failure ?? 'done'});
    const pending = orders.get(machine);
    if (pending) pending.answered = true;
    idleSince.delete(machine);
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
interface Decided {
  readonly machine: string;
  readonly give: () => Promise<void>;
}

/** What is stored of a wave. */
interface StoredWave {
  /** Unix time in ms at which a leader first saw it. */
  readonly startedAt: number;
  readonly serviced: readonly string[];
}
