import {RunOrder} from '../../ports/hosts';
import {getRunKey} from './run_key';

/**
 * The start orders of a term that got no answer, or none yet. A host may still
 * carry them out, also in an incarnation that starts after they were sent.
 */
export interface UnansweredStarts {
  /** Adds a run whose start is being ordered. */
  add(hostId: string, run: RunName): void;
  /** Removes a run all of whose start orders were answered. */
  remove(hostId: string, run: RunName): void;
  /** Returns the runs, by key, that an order may still start on a host. */
  list(hostId: string): ReadonlyMap<string, RunName>;
  /**
   * Returns the maximum time in ms until an order to a host is carried out; 0 if
   * all were answered.
   */
  getMaxDelayMs(hostId: string): number;
}

/** Identifies a run of a task. */
export type RunName = Pick<RunOrder, 'task' | 'run'>;

interface Start {
  readonly hostId: string;
  readonly name: RunName;
  /** Monotonic time of the last order in ms. */
  readonly sentAt: number;
}

/** Maximum time in ms from an order to the moment at which it is carried out. */
const MAX_ORDER_DELAY_MS = 15_000;
/** Number of runs above which the oldest one is removed. */
const MAX_RUNS = 50_000;

/** Creates an empty collection. */
export function createUnansweredStarts(): UnansweredStarts {
  /** By host and run, in the order in which their last orders were sent. */
  const starts = new Map<string, Start>();

  const getKey = (hostId: string, {task, run}: RunName) =>
    `${hostId} ${getRunKey(task, run)}`;

  function removeOld(): void {
    const oldestAt = performance.now() - MAX_ORDER_DELAY_MS;
    for (const [key, {sentAt}] of starts) {
      if (sentAt >= oldestAt && starts.size <= MAX_RUNS) return;
      starts.delete(key);
    }
  }

  function listStarts(hostId: string): readonly Start[] {
    removeOld();
    return [...starts.values()].filter(start => start.hostId === hostId);
  }

  return {
    add(hostId, {task, run}) {
      const name = {task, run};
      const key = getKey(hostId, name);
      starts.delete(key);
      starts.set(key, {hostId, name, sentAt: performance.now()});
      removeOld();
    },
    remove: (hostId, name) => void starts.delete(getKey(hostId, name)),
    list(hostId) {
      const names = listStarts(hostId).map(({name}) => name);
      return new Map(names.map(name => [getRunKey(name.task, name.run), name]));
    },
    getMaxDelayMs(hostId) {
      const last = listStarts(hostId).at(-1);
      if (!last) return 0;
      return last.sentAt + MAX_ORDER_DELAY_MS - performance.now();
    },
  };
}
