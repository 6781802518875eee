import {
  MachineView,
  PoolView,
  TaskPhase,
  TaskRecord,
  WorkflowRecord,
  isOpen,
  listReadyGroups,
} from '../../decisions/workflows';
import {FleetConfiguration, Machine, MachineState} from '../../types/workflow';
import {Coordinator} from './coordinator';
import {HostSession} from './host_session';

/** State of machines and pools at the time of one review. */
export interface FleetSnapshot {
  readonly machines: ReadonlyMap<string, MachineView>;
  readonly pools: readonly PoolView[];
  /** Mean CPU of one machine, in thousandths of a processor. */
  readonly machineCpuMillis: number;
}

/** Combines the machine list with the sessions and workflows of a term. */
export interface MachineViews {
  /** Sets the current machine list. */
  setList(list: readonly Machine[]): void;
  /**
   * Returns the current state of all listed machines and configured pools.
   *
   * @param isOrdered whether a machine has a pending or recent order
   */
  takeSnapshot(isOrdered: (machine: string) => boolean): FleetSnapshot;
  /**
   * Returns the sessions with all host incarnations on a machine that may
   * still be running.
   */
  listSessions(machine: string): readonly HostSession[];
  /**
   * Returns the tasks on all host incarnations on a machine, not only on the
   * listed one, as the list may be older than a session.
   */
  listTasks(machine: string): readonly TaskRecord[];
  /**
   * Returns the monotonic time in ms of the last answer of a host on a machine;
   * -Infinity if none has reported.
   */
  getLastAnswerAt(machine: string): number;
  /** Resets the idle time of a machine after an order for it. */
  restartIdleTime(machine: string): void;
}

/**
 * Time in ms after the start of a term during which pools without observed work
 * keep their size: the maximum pause between bursts of a queue.
 */
const LEARNING_PERIOD_MS = 30_000;
/**
 * Time in ms without a snapshot after which idle times start anew: while the
 * leader could not act, no work could be accepted, so idle machines say nothing
 * about the load.
 */
const MAX_SNAPSHOT_GAP_MS = 1_000;

/**
 * Creates the views of a term.
 *
 * @param coordinator source of sessions, workflows and the demand forecast
 * @param getConfiguration returns the active configuration
 * @param unixNow returns the current Unix time in ms
 */
export function createMachineViews(
  coordinator: Coordinator,
  getConfiguration: () => FleetConfiguration | undefined,
  unixNow: () => number,
): MachineViews {
  const startedAt = performance.now();
  const idleSince = new Map<string, number>();
  let snapshotAt = startedAt;
  let list: readonly Machine[] = [];

  /**
   * Returns the sessions with live hosts by machine id. For unregistered hosts
   * the machine is known from the machine list only.
   */
  function indexSessions(): ReadonlyMap<string, readonly HostSession[]> {
    const machineOf = new Map(list.map(({id, hostId}) => [hostId, id]));
    const index = new Map<string, HostSession[]>();
    for (const session of coordinator.sessions.values()) {
      if (session.isGone()) continue;
      const {machine, id} = session.room.host;
      for (const key of new Set([machine, machineOf.get(id) ?? machine])) {
        const sessions = index.get(key);
        if (sessions) sessions.push(session);
        else index.set(key, [session]);
      }
    }
    return index;
  }

  function listSessions(machine: string): readonly HostSession[] {
    return indexSessions().get(machine) ?? [];
  }

  function viewMachine(
    machine: Machine,
    sessions: readonly HostSession[],
    ordered: boolean,
  ): MachineView {
    const session = coordinator.sessions.get(machine.hostId);
    const tasks = flattenTasks(sessions);
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
      serves: session ? session.isUsable() : isJoining(machine, ordered),
      cordoned: session?.isCordoned() ?? false,
      idleMs: now - (idleSince.get(machine.id) ?? now),
      ordered,
    };
  }

  function addDemand(
    record: WorkflowRecord,
    demand: Map<string, number>,
    minHosts: Map<string, number>,
  ): void {
    const {pool} = record.workflow;
    let sum = demand.get(pool) ?? 0;
    for (const group of listReadyGroups(record, unixNow())) {
      const {perHostLimit, lasting} = group[0].step;
      if (lasting && perHostLimit > 0) {
        const hostsNeeded = Math.ceil(group.length / perHostLimit);
        minHosts.set(pool, Math.max(hostsNeeded, minHosts.get(pool) ?? 0));
      }
      for (const {phase, step} of group) {
        if (phase !== TaskPhase.Done && !step.fills) sum += step.cpuMillis;
      }
    }
    demand.set(pool, sum);
  }

  function viewPools(): readonly PoolView[] {
    const demand = new Map<string, number>();
    const minHosts = new Map<string, number>();
    for (const record of coordinator.records.values()) {
      if (!isOpen(record)) continue;
      try {
        addDemand(record, demand, minHosts);
      } catch (error) {
        coordinator.setAside(record, error);
      }
    }
    const {forecast} = coordinator;
    const now = performance.now();
    const hasLearned = now > startedAt + LEARNING_PERIOD_MS;
    const configured = getConfiguration()?.pools ?? new Map();
    return [...configured.values()].map(({name, spare}) => ({
      name,
      spare,
      demandCpuMillis: demand.get(name) ?? 0,
      expectedCpuMillis: forecast.predict(name, now),
      minHosts: minHosts.get(name) ?? 0,
      observedMs: hasLearned
        ? LEARNING_PERIOD_MS
        : forecast.getObservedMs(name, now),
    }));
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

  return {
    setList(next) {
      list = next;
    },
    takeSnapshot(isOrdered) {
      const now = performance.now();
      if (now > snapshotAt + MAX_SNAPSHOT_GAP_MS) idleSince.clear();
      snapshotAt = now;
      const index = indexSessions();
      const views = list.map(machine =>
        viewMachine(
          machine,
          index.get(machine.id) ?? [],
          isOrdered(machine.id),
        ),
      );
      return {
        machines: new Map(views.map(view => [view.id, view])),
        pools: viewPools(),
        machineCpuMillis: getMachineCpuMillis(),
      };
    },
    listSessions,
    listTasks: machine => flattenTasks(listSessions(machine)),
    getLastAnswerAt: machine =>
      Math.max(
        ...listSessions(machine)
          .filter(({reportedAt}) => reportedAt > 0)
          .map(({answeredAt}) => answeredAt),
      ),
    restartIdleTime: machine => void idleSince.delete(machine),
  };
}

function flattenTasks(sessions: readonly HostSession[]): readonly TaskRecord[] {
  return sessions.flatMap(session => [...session.tasks.values()]);
}

/**
 * Returns whether a machine without a session is moving, or has been moved and
 * its host has not registered yet.
 */
function isJoining({state}: Machine, ordered: boolean): boolean {
  if (state === MachineState.Moving) return true;
  return state === MachineState.Up && ordered;
}

/**
 * Returns the CPU that each pool could obtain, in thousandths of a processor:
 * that of all available machines less the demand of the other pools.
 */
export function measurePoolCpu({
  machines,
  pools,
  machineCpuMillis,
}: FleetSnapshot): ReadonlyMap<string, number> {
  let up = 0;
  for (const {state, serves, hostId} of machines.values()) {
    const isOff = hostId === '' && state === MachineState.Up;
    if (isOff || serves) up += machineCpuMillis;
  }
  const demand = pools.reduce((sum, pool) => sum + pool.demandCpuMillis, 0);
  return new Map(
    pools.map(({name, demandCpuMillis}) => [
      name,
      Math.max(0, up - (demand - demandCpuMillis)),
    ]),
  );
}

/** Returns a pool's demand as a share of the CPU of its running machines. */
export function getUtilization(
  pool: string,
  {machines, pools, machineCpuMillis}: FleetSnapshot,
): number {
  const demand = pools.find(({name}) => name === pool)?.demandCpuMillis ?? 0;
  let size = 0;
  for (const machine of machines.values()) {
    if (machine.pool === pool && machine.hostId !== '') size += 1;
  }
  return demand / Math.max(1, size * machineCpuMillis);
}
