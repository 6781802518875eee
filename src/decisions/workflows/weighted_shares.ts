import {Capacity} from '../../types/workflow';
import {NO_CAPACITY, addTasks} from './organisation_usage';

/** Who is next when the organisations of a pool want more than it has. */
export interface WeightedShares {
  /**
   * Returns the share of the pool that an organisation uses, of the resource
   * that it uses most, as a multiple of the share that its weight entitles it
   * to.
   */
  getLevel(organisation: string): number;
  /** Counts tasks of one size that are given to an organisation. */
  take(organisation: string, size: Capacity, count: number): void;
}

/** An organisation that has work in a pool. */
export interface ShareHolder {
  readonly name: string;
  readonly weight: number;
  /** What it has running in the pool. */
  readonly used: Capacity;
}

/** Smallest weight; that of organisations that are no longer configured. */
const MIN_WEIGHT = 0.001;

/**
 * Creates the shares of one pass over a pool.
 *
 * Load: one caller sends seven times its usual into a full pool. Giving room to
 * the organisation with the lowest level first is weighted max-min fairness:
 * each gets at least its share of its dominant resource, and what nobody claims
 * goes to those that can use it. Only what is running counts, so a caller that
 * was quiet has its turn at once and collects no credit.
 *
 * @param holders organisations with running or waiting work
 * @param capacity capacity of the pool's hosts
 */
export function createWeightedShares(
  holders: readonly ShareHolder[],
  capacity: Capacity,
): WeightedShares {
  const used = new Map<string, Capacity>();
  const entitled = new Map<string, number>();
  /** Levels by organisation, as they are read far more often than changed. */
  const levels = new Map<string, number>();
  const sum = holders.reduce((total, {weight}) => total + clamp(weight), 0);
  for (const holder of holders) {
    used.set(holder.name, holder.used);
    entitled.set(holder.name, clamp(holder.weight) / sum);
    updateLevel(holder.name);
  }

  function updateLevel(organisation: string): void {
    const share = getDominantShare(
      used.get(organisation) ?? NO_CAPACITY,
      capacity,
    );
    const due = entitled.get(organisation) ?? MIN_WEIGHT;
    levels.set(organisation, share / due);
  }

  return {
    getLevel: organisation => levels.get(organisation) ?? 0,
    take(organisation, size, count) {
      const before = used.get(organisation) ?? NO_CAPACITY;
      used.set(organisation, addTasks(before, size, count));
      updateLevel(organisation);
    },
  };
}

function clamp(weight: number): number {
  return Math.max(weight, MIN_WEIGHT);
}

function getDominantShare(used: Capacity, capacity: Capacity): number {
  return Math.max(
    used.cpuMillis / Math.max(1, capacity.cpuMillis),
    used.memoryMb / Math.max(1, capacity.memoryMb),
    capacity.accelerators === 0 ? 0 : used.accelerators / capacity.accelerators,
  );
}
