/** Whether a host is eligible for new tasks, judged by the outcome of earlier runs. */
export enum HostTrust {
  Sound = 'sound',
  /** Gets tasks only if no healthy host has room. */
  Doubtful = 'doubtful',
  /** Temporarily excluded from new tasks. */
  Sick = 'sick',
}

/** Detects unhealthy hosts from the outcomes of their runs, independently of their own health checks. */
export interface HostHealth {
  /** Records a successful run that took the given multiple of its expected time. */
  noteDone(hostId: string, slowness: number, now: number): void;
  /** Records a failed run of a workflow; returns true if the host becomes unhealthy by it. */
  noteFailure(hostId: string, workflowId: string, now: number): boolean;
  /** Records a run without progress; returns true unless the host was unhealthy already. */
  noteStall(hostId: string, now: number): boolean;
  /** Returns whether a host is eligible for new tasks. */
  judge(hostId: string, now: number): HostTrust;
  /** Removes the records of all hosts but the given ones. */
  retain(hostIds: ReadonlyMap<string, unknown>): void;
}

interface HostRecord {
  /** Ids of workflows with failed runs since the last successful run. */
  readonly failed: Set<string>;
  sickUntil: number;
  sickMs: number;
  /** Moving average of run times, as a multiple of the expected ones. */
  slowness: number;
  samples: number;
  observedAt: number;
}

/** Workflows that fail without a successful run in between before a host is unhealthy; one or two may be faulty themselves. */
const SICK_FAILURES = 3;
/** Initial and maximum time in ms for which an unhealthy host gets no tasks; it doubles with each recurrence. */
const SICK_MS = 3_000;
const LONGEST_SICK_MS = 12_000;
/** Weight of the latest run in the moving average of a host's slowness; about five runs count. */
const WEIGHT = 0.2;
/** Minimum number of runs to determine a host's slowness. */
const LEAST_SAMPLES = 4;
/** Multiple of the expected run time above which a host is slow; the mean error of a few declared times is smaller. */
const SLOW = 2.5;
/** Time in ms after which a host's measured slowness expires, so that the host is tried again. */
const SLOW_MEMORY_MS = 5_000;

/**
 * Creates a detector without any records.
 *
 * It detects hosts that pass their health checks but fail, stall or slow down
 * their runs. Failures of one workflow count once, so that a workflow that can
 * never succeed does not make a host unhealthy.
 */
export function createHostHealth(): HostHealth {
  const hosts = new Map<string, HostRecord>();

  function get(hostId: string): HostRecord {
    let record = hosts.get(hostId);
    if (!record) {
      record = {
        failed: new Set(),
        sickUntil: 0,
        sickMs: SICK_MS,
        slowness: 1,
        samples: 0,
        observedAt: 0,
      };
      hosts.set(hostId, record);
    }
    return record;
  }

  function markSick(record: HostRecord, now: number): boolean {
    if (now < record.sickUntil) return false;
    record.sickUntil = now + record.sickMs;
    record.sickMs = Math.min(LONGEST_SICK_MS, record.sickMs * 2);
    return true;
  }

  return {
    noteDone(hostId, slowness, now) {
      const record = get(hostId);
      record.failed.clear();
      record.sickMs = SICK_MS;
      if (now - record.observedAt > SLOW_MEMORY_MS) record.samples = 0;
      record.slowness =
        record.samples === 0
          ? slowness
          : record.slowness * (1 - WEIGHT) + slowness * WEIGHT;
      record.samples += 1;
      record.observedAt = now;
    },
    noteFailure(hostId, workflowId, now) {
      const record = get(hostId);
      record.failed.add(workflowId);
      return record.failed.size >= SICK_FAILURES && markSick(record, now);
    },
    noteStall: (hostId, now) => markSick(get(hostId), now),
    judge(hostId, now) {
      const record = hosts.get(hostId);
      if (!record) return HostTrust.Sound;
      if (now < record.sickUntil) return HostTrust.Sick;
      if (record.failed.size >= SICK_FAILURES) return HostTrust.Doubtful;
      const known =
        record.samples >= LEAST_SAMPLES &&
        now - record.observedAt < SLOW_MEMORY_MS;
      return known && record.slowness > SLOW
        ? HostTrust.Doubtful
        : HostTrust.Sound;
    },
    retain(hostIds) {
      for (const id of hosts.keys()) if (!hostIds.has(id)) hosts.delete(id);
    },
  };
}
