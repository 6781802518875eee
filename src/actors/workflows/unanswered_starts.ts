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
}

/** Identifies a run of a task. */
export type RunName = Pick<RunOrder, 'task' | 'run'>;

/** Maximum time in ms from an order to the moment at which it is carried out. */
const MAX_ORDER_DELAY_MS = 15_000;
/** Number of runs above which the oldest one is removed. */
const MAX_RUNS = 50_000;

/** Creates an empty collection. */
export function createUnansweredStarts(): UnansweredStarts {
  /** By host and run, in the order in which their last orders were sent. */
  const starts = new Map<
    string,
    {hostId: string; name: RunName; sentAt: number}
  >();

  const getKey = (hostId: string, {task, run}: RunName) =>
    `${hostId} ${getRunKey(task, run)}`;

  function removeOld(): void {
    const oldestAt = performance.now() - MAX_ORDER_DELAY_MS;
    for (const [key, {sentAt}] of starts) {
      if (sentAt >= oldestAt && starts.size <= MAX_RUNS) return;
      starts.delete(key);
    }
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
      removeOld();
      const runs = [...starts.values()]
        .filter(start => start.hostId === hostId)
        .map(({name}) => name);
      return new Map(runs.map(name => [getRunKey(name.task, name.run), name]));
    },
  };
}
