import {MachineState} from '../../types/workflow';
import {MachineView} from './machine_view';

/** A pool with the work that it has. */
export interface PoolView {
  readonly name: string;
  /** Its machines are off. */
  readonly spare: boolean;
  /** Work that runs or could run now, in thousandths of a processor. */
  readonly demandCpuMillis: number;
  /** Work that is expected to run soon, in thousandths of a processor. */
  readonly expectedCpuMillis: number;
  /** Hosts that its work needs however small it is, as tasks must be apart. */
  readonly leastHosts: number;
  /** Time in ms since its first work was seen; until then its size is the operator's, and stays. */
  readonly knownMs: number;
}

/** A machine to move to another pool. */
export interface MachineMove {
  readonly machine: string;
  readonly from: string;
  readonly to: string;
}

/** Figures that weigh moves against machines that stand by. */
export interface PoolPlanOptions {
  /** Thousandths of a processor of one machine. */
  readonly machineCpuMillis: number;
  /** Machines that a pool keeps at the least. */
  readonly floor: number;
  /** Idle time in ms after which a machine goes to the spare pool. */
  readonly releaseAfterMs: number;
}

/** Room that a pool should have above its work: what placement can't fill. */
const HEADROOM = 1.15;

/**
 * Answers queues that ask in turns for more than their pool holds: a pool whose
 * work exceeds its room gets spare machines, then empty ones of pools that have
 * more than they need; a machine that stays empty goes to the spare pool.
 *
 * @param pools pools with their work
 * @param machines all machines
 * @param options weights
 */
export function planPools(
  pools: readonly PoolView[],
  machines: readonly MachineView[],
  {machineCpuMillis, floor, releaseAfterMs}: PoolPlanOptions,
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
      Math.ceil((cpuMillis * HEADROOM) / machineCpuMillis);
    needs.set(
      pool.name,
      Math.max(count(pool.demandCpuMillis), pool.leastHosts),
    );
    expected.set(pool.name, count(pool.expectedCpuMillis));
  }
  const moves: MachineMove[] = [];
  const taken = new Set<string>();

  function move(machine: MachineView, to: string): void {
    taken.add(machine.id);
    moves.push({machine: machine.id, from: machine.pool, to});
    if (sizes.has(machine.pool)) change(machine.pool, -1);
    if (sizes.has(to)) change(to, 1);
  }

  function change(pool: string, by: number): void {
    sizes.set(pool, (sizes.get(pool) ?? 0) + by);
  }

  function surplus(pool: string): number {
    const need = Math.max(floor, needs.get(pool) ?? 0, expected.get(pool) ?? 0);
    return (sizes.get(pool) ?? 0) - need;
  }

  const short = [...needs.keys()].sort((a, b) => surplus(a) - surplus(b));
  for (const pool of short) {
    for (const machine of listGivers(byPool, spare?.name, pool)) {
      // What is only expected takes no machine from another pool.
      const isSpare = machine.pool === spare?.name;
      const need = needs.get(pool) ?? 0;
      const wanted = isSpare ? Math.max(need, expected.get(pool) ?? 0) : need;
      if ((sizes.get(pool) ?? 0) >= wanted) break;
      if (taken.has(machine.id)) continue;
      if (!isSpare && surplus(machine.pool) <= 0) continue;
      move(machine, pool);
    }
  }
  if (!spare) return moves;
  const known = new Set(
    pools.filter(pool => pool.knownMs >= releaseAfterMs).map(({name}) => name),
  );
  for (const machine of machines) {
    if (taken.has(machine.id) || machine.pool === spare.name) continue;
    if (!isMovable(machine) || machine.hostId === '') continue;
    if (!known.has(machine.pool)) continue;
    if (machine.idleMs < releaseAfterMs || surplus(machine.pool) <= 0) continue;
    move(machine, spare.name);
  }
  return moves;
}

/** Machines that may be given away, the spare ones first. */
function listGivers(
  byPool: ReadonlyMap<string, readonly MachineView[]>,
  spare: string | undefined,
  to: string,
): readonly MachineView[] {
  const givers: MachineView[] = [];
  if (spare !== undefined) givers.push(...(byPool.get(spare) ?? []));
  for (const [pool, machines] of byPool) {
    if (pool === spare || pool === to) continue;
    givers.push(...machines.filter(machine => machine.hostId !== ''));
  }
  return givers.filter(isMovable);
}

function isMovable({state, tasks, cordoned, ordered}: MachineView): boolean {
  return state === MachineState.Up && tasks === 0 && !cordoned && !ordered;
}

/** Machines that serve the pool now or soon. */
function countPresent(machines: readonly MachineView[]): number {
  return machines.filter(({serves}) => serves).length;
}
