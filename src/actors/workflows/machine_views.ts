import {
  MachineView,
  PoolView,
  TaskPhase,
  TaskRecord,
  isFinal,
  listOpenGroups,
} from '../../decisions/workflows';
import {FleetConfiguration, Machine, MachineState} from '../../types/workflow';
import {Coordinator} from './coordinator';
import {HostSession} from './host_session';

/** Machines and pools as one review of them sees them. */
export interface FleetSnapshot {
  readonly machines: ReadonlyMap<string, MachineView>;
  readonly pools: readonly PoolView[];
  /** Thousandths of a processor of one machine, in the mean. */
  readonly machineCpuMillis: number;
}

/** Looks at machines through the list, the sessions and the work of a term. */
export interface MachineViews {
  /** Takes over the list of machines. */
  setList(list: readonly Machine[]): void;
  takeSnapshot(isOrdered: (machine: string) => boolean): FleetSnapshot;
  /** Returns the sessions with all lives on a machine that may not have ended. */
  listSessions(machine: string): readonly HostSession[];
  /** Returns the tasks on all lives of a machine, as the list may be older than a session. */
  listTasks(machine: string): readonly TaskRecord[];
  /** An idle time ends here: the machine begins a new life. */
  restartIdleTime(machine: string): void;
}

/** Time in ms for which a leader leaves pools as they are whose work it has not seen yet: the longest pause between the turns of a queue. */
const LEARNING_PERIOD_MS = 30_000;

/**
 * Creates the views of a term.
 *
 * @param coordinator sessions, workflows and forecast
 * @param getConfiguration returns the configuration in force
 */
export function createMachineViews(
  coordinator: Coordinator,
  getConfiguration: () => FleetConfiguration | undefined,
): MachineViews {
  const startedAt = performance.now();
  const idleSince = new Map<string, number>();
  let list: readonly Machine[] = [];

  /** A session whose host isn't registered knows its machine from the list only. */
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

  function viewPools(): readonly PoolView[] {
    const demand = new Map<string, number>();
    const minHosts = new Map<string, number>();
    for (const record of coordinator.records.values()) {
      if (isFinal(record.state)) continue;
      const {pool} = record.workflow;
      let sum = demand.get(pool) ?? 0;
      for (const group of listOpenGroups(record, Date.now())) {
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
    const {forecast} = coordinator;
    const now = performance.now();
    const hasLearned = now > startedAt + LEARNING_PERIOD_MS;
    const configured = getConfiguration()?.pools ?? new Map();
    return [...configured.values()].map(({name, spare}) => ({
      name,
      spare,
      demandCpuMillis: demand.get(name) ?? 0,
      expectedCpuMillis: forecast.expect(name, now),
      leastHosts: minHosts.get(name) ?? 0,
      knownMs: hasLearned ? LEARNING_PERIOD_MS : forecast.getKnownMs(name, now),
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
    restartIdleTime: machine => void idleSince.delete(machine),
  };
}

function flattenTasks(sessions: readonly HostSession[]): readonly TaskRecord[] {
  return sessions.flatMap(session => [...session.tasks.values()]);
}

/** A machine that moves, or has moved and not registered yet, will serve. */
function isJoining({state}: Machine, ordered: boolean): boolean {
  if (state === MachineState.Moving) return true;
  return state === MachineState.Up && ordered;
}

/** Returns the room that each pool could have: all machines that are up, less what the others work on. */
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

/** Returns the share of its room that a pool uses. */
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
