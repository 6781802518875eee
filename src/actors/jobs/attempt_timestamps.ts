import {AttemptId} from '../../ports';

/** Timestamps of the attempts that a leader tracks; monotonic, in ms. */
export interface AttemptTimestamps {
  /**
   * Returns when the attempt was first seen; records the current time if it is
   * new.
   */
  getFirstSeenAt(name: AttemptId): number;
  /**
   * Returns the time of the last call that may have started or renewed the
   * attempt, or 0.
   */
  getRenewedAt(name: AttemptId): number;
  /** Records the time of a call that may start or renew the attempt. */
  setRenewedAt(name: AttemptId, at: number): void;
  remove(name: AttemptId): void;
}

interface Timestamps {
  readonly firstSeenAt: number;
  renewedAt: number;
}

/** Creates an empty set of timestamps. */
export function createAttemptTimestamps(): AttemptTimestamps {
  const times = new Map<string, Timestamps>();

  function find(name: AttemptId): Timestamps {
    const key = nameTask(name);
    const known = times.get(key);
    if (known) return known;
    const created = {firstSeenAt: performance.now(), renewedAt: 0};
    times.set(key, created);
    return created;
  }

  return {
    getFirstSeenAt: name => find(name).firstSeenAt,
    getRenewedAt: name => find(name).renewedAt,
    setRenewedAt(name, at) {
      find(name).renewedAt = at;
    },
    remove: name => void times.delete(nameTask(name)),
  };
}

/** Returns a string key for an attempt. */
export function nameTask({jobId, attempt}: AttemptId): string {
  return `${jobId}#${attempt}`;
}
