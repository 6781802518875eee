import {Capacity, Step} from '../../types/workflow';
import {getRequiredCapacity} from './host_room';

/**
 * Sizes of tasks for which no host of a pool has had room during one placement
 * pass. Room only shrinks during a pass, so tasks of at least such a size need
 * not be tried again.
 */
export interface UnplaceableSizes {
  /**
   * Records that no host had room for a task of the step.
   *
   * @param runMs run time in ms from which that holds; more than 0 if room was
   *     kept for other work until a later time
   */
  add(step: Step, runMs: number): void;
  /** Returns whether no host can have room for a task with a run time in ms. */
  has(step: Step, runMs: number): boolean;
}

interface UnplaceableSize {
  readonly capacity: Capacity;
  readonly runMs: number;
}

/** Creates a record for one pass over the hosts of one pool. */
export function createUnplaceableSizes(): UnplaceableSizes {
  let sizes: UnplaceableSize[] = [];

  return {
    add(step, runMs) {
      // The step's own conditions, not its size, may have excluded the hosts.
      if (step.label !== '' || step.perHostLimit > 0) return;
      const size = {capacity: getRequiredCapacity(step), runMs};
      sizes = sizes.filter(other => !isAtLeast(other, size));
      sizes.push(size);
    },
    has(step, runMs) {
      if (sizes.length === 0) return false;
      const size = {capacity: getRequiredCapacity(step), runMs};
      return sizes.some(smaller => isAtLeast(size, smaller));
    },
  };
}

function isAtLeast(size: UnplaceableSize, smaller: UnplaceableSize): boolean {
  return (
    size.runMs >= smaller.runMs &&
    size.capacity.cpuMillis >= smaller.capacity.cpuMillis &&
    size.capacity.memoryMb >= smaller.capacity.memoryMb &&
    size.capacity.accelerators >= smaller.capacity.accelerators
  );
}
