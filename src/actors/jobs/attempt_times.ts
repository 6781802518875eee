import {TaskName} from '../../ports';

/** Timestamps of the attempts that a leader tracks; monotonic, in ms. */
export interface AttemptTimes {
  /** Returns when the attempt was first seen; records the current time if it is new. */
  firstSeen(name: TaskName): number;
  /** Returns the time of the last call that may have started or renewed the attempt, or 0. */
  renewed(name: TaskName): number;
  /** Records the time of a call that may start or renew the attempt. */
  setRenewed(name: TaskName, at: number): void;
  forget(name: TaskName): void;
}

interface Times {
  readonly firstSeenAt: number;
  renewedAt: number;
}

/** Creates an empty set of timestamps. */
export function createAttemptTimes(): AttemptTimes {
  const times = new Map<string, Times>();

  function find(name: TaskName): Times {
    const key = nameTask(name);
    const known = times.get(key);
    if (known) return known;
    const created = {firstSeenAt: performance.now(), renewedAt: 0};
    times.set(key, created);
    return created;
  }

  return {
    firstSeen: name => find(name).firstSeenAt,
    renewed: name => find(name).renewedAt,
    setRenewed(name, at) {
      find(name).renewedAt = at;
    },
    forget: name => void times.delete(nameTask(name)),
  };
}

/** Returns a string key for an attempt. */
export function nameTask({jobId, attempt}: TaskName): string {
  return `${jobId}#${attempt}`;
}
