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
  /** Returns whether an order may still start a run on a host. */
  has(hostId: string): boolean;
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
  readonly name: RunName;
  /** Monotonic time of the last order in ms. */
  readonly sentAt: number;
}

/** Maximum time in ms from an order to the moment at which it is carried out. */
const MAX_ORDER_DELAY_MS = 15_000;
/** Number of runs of a host above which the oldest one is removed. */
const MAX_RUNS = 1_000;

const NO_STARTS: ReadonlyMap<string, Start> = new Map();

/** Creates an empty collection. */
export function createUnansweredStarts(): UnansweredStarts {
  /**
   * Starts by host and run key, each in the order in which the last orders were
   * sent.
   */
  const hosts = new Map<string, Map<string, Start>>();

  function readCurrent(hostId: string): ReadonlyMap<string, Start> {
    const starts = hosts.get(hostId);
    if (!starts) return NO_STARTS;
    const oldestAt = performance.now() - MAX_ORDER_DELAY_MS;
    for (const [key, {sentAt}] of starts) {
      if (sentAt >= oldestAt && starts.size <= MAX_RUNS) break;
      starts.delete(key);
    }
    if (starts.size === 0) hosts.delete(hostId);
    return starts;
  }

  return {
    add(hostId, {task, run}) {
      const starts = hosts.get(hostId) ?? new Map<string, Start>();
      const key = getRunKey(task, run);
      starts.delete(key);
      starts.set(key, {name: {task, run}, sentAt: performance.now()});
      hosts.delete(hostId);
      hosts.set(hostId, starts);
      readCurrent(hostId);
      const [leastRecent] = hosts.keys();
      readCurrent(leastRecent);
    },
    remove(hostId, {task, run}) {
      const starts = hosts.get(hostId);
      starts?.delete(getRunKey(task, run));
      if (starts?.size === 0) hosts.delete(hostId);
    },
    has: hostId => readCurrent(hostId).size > 0,
    list(hostId) {
      const starts = [...readCurrent(hostId)];
      return new Map(starts.map(([key, {name}]) => [key, name]));
    },
    getMaxDelayMs(hostId) {
      const last = [...readCurrent(hostId).values()].at(-1);
      if (!last) return 0;
      return last.sentAt + MAX_ORDER_DELAY_MS - performance.now();
    },
  };
}
