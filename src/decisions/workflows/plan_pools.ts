import {MachineState} from '../../types/workflow';
import {MachineView} from './machine_view';

/** A pool with its current and predicted load. */
export interface PoolView {
  readonly name: string;
  /** Whether it is the spare pool, whose machines are powered off. */
  readonly spare: boolean;
  /**
   * Demand of work that runs or is ready to run, in thousandths of a processor.
   */
  readonly demandCpuMillis: number;
  /** Demand predicted for the near future, in thousandths of a processor. */
  readonly expectedCpuMillis: number;
  /**
   * Minimum number of hosts regardless of demand, because of tasks that must
   * run on different hosts.
   */
  readonly minHosts: number;
  /**
   * Time in ms since its first work arrived; the pool keeps the size set by the
   * operator until enough is known of its load.
   */
  readonly observedMs: number;
}

/** A machine to move to another pool. */
export interface MachineMove {
  readonly machine: string;
  readonly from: string;
  readonly to: string;
}

/** Parameters that balance moves of machines against idle capacity. */
export interface PoolPlanOptions {
  /** Capacity of one machine, in thousandths of a processor. */
  readonly machineCpuMillis: number;
  /** Minimum number of machines of a pool. */
  readonly minMachines: number;
  /** Idle time in ms after which a machine is released to the spare pool. */
  readonly releaseAfterMs: number;
}

/**
 * Ratio of capacity to demand; covers fragmentation that placement cannot use.
 */
const HEADROOM_FACTOR = 1.15;

/**
 * Plans the moves of machines between pools that match capacity to demand.
 *
 * A pool whose demand exceeds its capacity gets machines from the spare pool,
 * then empty machines from pools with a surplus. A machine that stays idle is
 * released to the spare pool.
 *
 * @param pools pools with their load
 * @param machines all machines
 * @param options planning parameters
 */
export function planPools(
  pools: readonly PoolView[],
  machines: readonly MachineView[],
  {machineCpuMillis, minMachines: floor, releaseAfterMs}: PoolPlanOptions,
): readonly MachineMove[] {
  const spare = pools.find(pool => pool.spare);
  const byPool = new Map<string, MachineView[]>();
  for (const pool of pools) byPool.set(pool.name, []);
  for (const machine of machines) byPool.get(machine.pool)?.push(machine);
  const sizes = new Map<string, number>();
  const needs = new Map<string, number>();
  const expected = new Map<string, number>();
  for (const pool of pools) {
    if (pool.spare) continue;
    sizes.set(pool.name, countPresent(byPool.get(pool.name) ?? []));
    const count = (cpuMillis: number) =>
      Math.ceil((cpuMillis * HEADROOM_FACTOR) / machineCpuMillis);
    needs.set(pool.name, Math.max(count(pool.demandCpuMillis), pool.minHosts));
    expected.set(pool.name, count(pool.expectedCpuMillis));
  }
  const moves: MachineMove[] = [];
  const taken = new Set<string>();

  function move(machine: MachineView, to: string): void {
    taken.add(machine.id);
    moves.push({machine: machine.id, from: machine.pool, to});
    if (sizes.has(machine.pool)) adjustSize(machine.pool, -1);
    if (sizes.has(to)) adjustSize(to, 1);
  }

  function adjustSize(pool: string, by: number): void {
    sizes.set(pool, (sizes.get(pool) ?? 0) + by);
  }

  function getSurplus(pool: string): number {
    const need = Math.max(floor, needs.get(pool) ?? 0, expected.get(pool) ?? 0);
    return (sizes.get(pool) ?? 0) - need;
  }

  const byShortage = [...needs.keys()].sort(
    (a, b) => getSurplus(a) - getSurplus(b),
  );
  for (const pool of byShortage) {
    for (const machine of listDonors(byPool, spare?.name, pool)) {
      // Predicted demand is met from the spare pool only, never from other
      // pools.
      const isSpare = machine.pool === spare?.name;
      const need = needs.get(pool) ?? 0;
      const wanted = isSpare ? Math.max(need, expected.get(pool) ?? 0) : need;
      if ((sizes.get(pool) ?? 0) >= wanted) break;
      if (taken.has(machine.id)) continue;
      if (!isSpare && getSurplus(machine.pool) <= 0) continue;
      move(machine, pool);
    }
  }
  if (!spare) return moves;
  const observed = new Set(
    pools
      .filter(pool => pool.observedMs >= releaseAfterMs)
      .map(({name}) => name),
  );
  for (const machine of machines) {
    if (taken.has(machine.id) || machine.pool === spare.name) continue;
    if (!isMovable(machine) || machine.hostId === '') continue;
    if (!observed.has(machine.pool)) continue;
    if (machine.idleMs < releaseAfterMs || getSurplus(machine.pool) <= 0)
      continue;
    move(machine, spare.name);
  }
  return moves;
}

/**
 * Returns the machines that may move to a pool, those of the spare pool first.
 */
function listDonors(
  byPool: ReadonlyMap<string, readonly MachineView[]>,
  spare: string | undefined,
  to: string,
): readonly MachineView[] {
  const spares = spare === undefined ? [] : (byPool.get(spare) ?? []);
  const others = [...byPool]
    .filter(([pool]) => pool !== spare && pool !== to)
    .flatMap(([, machines]) => machines)
    .filter(machine => machine.hostId !== '');
  return [...spares, ...others].filter(isMovable);
}

function isMovable({state, tasks, cordoned, ordered}: MachineView): boolean {
  return state === MachineState.Up && tasks === 0 && !cordoned && !ordered;
}

/** Counts the machines that accept tasks now or once they have registered. */
function countPresent(machines: readonly MachineView[]): number {
  return machines.filter(({serves}) => serves).length;
}
