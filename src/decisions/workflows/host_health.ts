/** How far a host is trusted with new tasks. */
export enum HostTrust {
  Sound = 'sound',
  /** Gets tasks only if no sound host has room. */
  Doubtful = 'doubtful',
  /** Gets none for a while. */
  Sick = 'sick',
}

/** Learns from the ends of runs which hosts are sick, whatever they say of themselves. */
export interface HostHealth {
  /** A run was done, in this multiple of its expected time. */
  noteDone(hostId: string, slowness: number, now: number): void;
  /** A run of a workflow has failed; returns true if that shows the host to be sick. */
  noteFailure(hostId: string, workflowId: string, now: number): boolean;
  /** A run stands still; returns true if the host wasn't known to be sick. */
  noteStall(hostId: string, now: number): boolean;
  judge(hostId: string, now: number): HostTrust;
  /** Forgets hosts that are gone. */
  retain(hostIds: ReadonlyMap<string, unknown>): void;
}

interface HostRecord {
  /** Workflows with failures since the last run that was done. */
  readonly failed: Set<string>;
  sickUntil: number;
  sickMs: number;
  /** Multiple of the expected run time, lately. */
  slowness: number;
  samples: number;
  observedAt: number;
}

/** Workflows whose tasks fail in a row that make a host sick: one or two may be at fault themselves. */
const SICK_FAILURES = 3;
/** Time in ms for which a host that was found sick gets no task, the first time and at the most. */
const SICK_MS = 3_000;
const LONGEST_SICK_MS = 12_000;
/** Weight of the last run in a host's slowness: the last five count. */
const WEIGHT = 0.2;
/** Runs that tell a host's slowness. */
const LEAST_SAMPLES = 4;
/** Multiple of the expected run time from which a host is slow: declared times are off by less in the mean of a few. */
const SLOW = 2.5;
/** Time in ms after which what was learned of a host's slowness no longer counts, so that it is tried again. */
const SLOW_MEMORY_MS = 5_000;

/**
 * Answers hosts whose health check is good while they fail or stall what they
 * run, or run it slowly: a host is judged by its ends. Failures of one workflow
 * count once, so that a workflow that can never be done makes no host sick.
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
