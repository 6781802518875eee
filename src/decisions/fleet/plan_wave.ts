import {HostAssignment, PoolRecord, Profile} from '../../types';

/** Expected effect of a wave on one pool. */
export interface PoolPlan {
  readonly pool: string;
  /** Number of hosts to maintain. */
  readonly hosts: number;
  /** Number of hosts that may be unavailable at once. */
  readonly budget: number;
  /**
   * Number of hosts that are unavailable now, which count against the budget.
   */
  readonly unavailable: number;
  /** Expected duration of one drain and reboot, in ms. */
  readonly maintenanceMs: number;
  /**
   * Lower bound of the roll-out time: ceil(hosts / budget) x (drain + reboot),
   * in ms.
   */
  readonly lowerBoundMs: number;
  /**
   * Expected roll-out time, in ms; hosts that are unavailable for other reasons
   * reduce the budget.
   */
  readonly expectedMs: number;
}

/** Preview of a wave before it is declared. */
export interface WavePlan {
  readonly hostIds: readonly string[];
  readonly pools: readonly PoolPlan[];
  /** Maximum over the pools, in ms, since pools roll out in parallel. */
  readonly lowerBoundMs: number;
  readonly expectedMs: number;
  /** Reasons why the wave could never complete; empty if there are none. */
  readonly obstacles: readonly string[];
}

/** Inputs of a wave plan. */
export interface PlanInputs {
  readonly hostIds: readonly string[];
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  readonly profiles: readonly Profile[];
  readonly records: ReadonlyMap<string, PoolRecord>;
}

/** Duration of a drain and reboot, in ms, in pools without measurements. */
const DEFAULT_MAINTENANCE_MS = 120_000;

/**
 * Plans a wave without declaring it.
 *
 * @param inputs the hosts and the state of their pools
 */
export function planWave(inputs: PlanInputs): WavePlan {
  const hostsByPool = groupByPool(inputs);
  const durations = groupMaintenanceTimes(inputs.assignments);
  const pools: PoolPlan[] = [];
  const obstacles: string[] = [];
  for (const [pool, hostIds] of hostsByPool) {
    const profile = inputs.profiles.find(known => known.pool === pool);
    if (!profile) {
      obstacles.push(`${pool} has no profile`);
      continue;
    }
    if (profile.maxUnavailable === 0) {
      obstacles.push(`${pool} allows no host to be unavailable`);
    }
    pools.push(planPool(inputs, profile, hostIds, durations.get(pool) ?? []));
  }
  return {
    hostIds: inputs.hostIds,
    pools,
    lowerBoundMs: Math.max(0, ...pools.map(pool => pool.lowerBoundMs)),
    expectedMs: Math.max(0, ...pools.map(pool => pool.expectedMs)),
    obstacles,
  };
}

function groupByPool(inputs: PlanInputs): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const hostId of inputs.hostIds) {
    const pool = inputs.assignments.get(hostId)?.pool;
    if (pool === undefined) continue;
    const group = groups.get(pool);
    if (group) group.push(hostId);
    else groups.set(pool, [hostId]);
  }
  return groups;
}

function planPool(
  inputs: PlanInputs,
  profile: Profile,
  hostIds: readonly string[],
  durations: readonly number[],
): PoolPlan {
  const record = inputs.records.get(profile.pool);
  const others = record?.unavailable.filter(entry => !entry.waveId) ?? [];
  const maintenanceMs = findMedian(durations);
  const budget = profile.maxUnavailable;
  const left = budget - others.length;
  return {
    pool: profile.pool,
    hosts: hostIds.length,
    budget,
    unavailable: record?.unavailable.length ?? 0,
    maintenanceMs,
    lowerBoundMs: findLowerBound(hostIds.length, budget, maintenanceMs),
    expectedMs: findLowerBound(hostIds.length, left, maintenanceMs),
  };
}

/**
 * Returns a lower bound of the roll-out time of a pool, in ms.
 *
 * @param hosts number of hosts to maintain
 * @param budget number of hosts that may be unavailable at once; less than 1
 *     counts as 1
 * @param maintenanceMs duration of one drain and reboot
 */
export function findLowerBound(
  hosts: number,
  budget: number,
  maintenanceMs: number,
): number {
  return Math.ceil(hosts / Math.max(1, budget)) * maintenanceMs;
}

/**
 * Returns the durations in ms of the last maintenance of the hosts, by pool.
 */
function groupMaintenanceTimes(
  assignments: ReadonlyMap<string, HostAssignment>,
): ReadonlyMap<string, readonly number[]> {
  const groups = new Map<string, number[]>();
  for (const {pool, maintenanceMs} of assignments.values()) {
    if (!maintenanceMs) continue;
    const group = groups.get(pool);
    if (group) group.push(maintenanceMs);
    else groups.set(pool, [maintenanceMs]);
  }
  return groups;
}

function findMedian(durations: readonly number[]): number {
  if (durations.length === 0) return DEFAULT_MAINTENANCE_MS;
  const sorted = [...durations].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
