import {Capacity, Step} from '../../types/workflow';
import {getRequiredCapacity} from './host_room';

/**
 * Sizes of tasks for which no host of a pool has had room during one placement
 * pass. Room only shrinks during a pass, so tasks of at least such a size need
 * not be tried again.
 */
export interface UnplaceableSizes {
  /** Records that no host had room for a task of the step. */
  add(step: Step): void;
  /** Returns whether no host can have room for a task of the step. */
  has(step: Step): boolean;
}

/** Creates a record for one pass over the hosts of one pool. */
export function createUnplaceableSizes(): UnplaceableSizes {
  let sizes: Capacity[] = [];

  return {
    add(step) {
      // The step's own conditions, not its size, may have excluded the hosts.
      if (step.label !== '' || step.perHostLimit > 0) return;
      const size = getRequiredCapacity(step);
      sizes = sizes.filter(other => !isAtLeast(other, size));
      sizes.push(size);
    },
    has(step) {
      const size = getRequiredCapacity(step);
      return sizes.some(smaller => isAtLeast(size, smaller));
    },
  };
}

function isAtLeast(size: Capacity, smaller: Capacity): boolean {
  return (
    size.cpuMillis >= smaller.cpuMillis &&
    size.memoryMb >= smaller.memoryMb &&
    size.accelerators >= smaller.accelerators
  );
}
