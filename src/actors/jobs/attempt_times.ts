import {TaskName} from '../../ports';

/** Monotonic times of the attempts that a leader follows, in ms. */
export interface AttemptTimes {
  /** Returns when the attempt was first seen, now if it is new. */
  firstSeen(name: TaskName): number;
  /** Returns the last call that may have renewed or started the attempt; 0 if none. */
  renewed(name: TaskName): number;
  /** Records a call that may renew or start the attempt. */
  setRenewed(name: TaskName, at: number): void;
  forget(name: TaskName): void;
}

interface Times {
  readonly firstSeenAt: number;
  renewedAt: number;
}

/** Creates times without any attempt. */
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

/** Returns an attempt's name as a key of maps. */
export function nameTask({jobId, attempt}: TaskName): string {
  return `${jobId}#${attempt}`;
}
