/**
 * Whether a host is eligible for new tasks, judged by the outcome of earlier
 * runs.
 */
export enum HostStatus {
  Healthy = 'sound',
  /** Gets tasks only if no healthy host has room. */
  Degraded = 'doubtful',
  /** Temporarily excluded from new tasks. */
  Unhealthy = 'sick',
}

/**
 * Detects unhealthy hosts from the outcomes of their runs, independently of
 * their own health checks; times are monotonic, in ms.
 */
export interface HostHealth {
  /** Records a successful run. */
  recordSuccess(hostId: string): void;
  /**
   * Records a failed run of a workflow; returns true if the host becomes
   * unhealthy by it.
   */
  recordFailure(hostId: string, workflowId: string, now: number): boolean;
  /**
   * Records a run without progress; returns true unless the host was unhealthy
   * already.
   */
  recordStall(hostId: string, now: number): boolean;
  /** Returns whether a host is eligible for new tasks. */
  getStatus(hostId: string, now: number): HostStatus;
  /** Removes the records of all hosts but the given ones. */
  retain(hostIds: ReadonlyMap<string, unknown>): void;
}

interface HostRecord {
  /** Ids of workflows with failed runs since the last successful run. */
  readonly failed: Set<string>;
  excludedUntil: number;
  exclusionMs: number;
}

/**
 * Number of workflows with failed runs since the last successful run from which
 * a host is unhealthy; one or two may be faulty themselves.
 */
const FAILURE_LIMIT = 3;
/**
 * Initial and maximum time in ms for which an unhealthy host gets no tasks; it
 * doubles with each recurrence.
 */
const INITIAL_EXCLUSION_MS = 3_000;
const MAX_EXCLUSION_MS = 12_000;
/**
 * Creates a detector without any records.
 *
 * It detects hosts that pass their health checks but fail or stall their runs. Failures of one workflow count once, so that a workflow that can
 * never succeed does not make a host unhealthy.
 */
export function createHostHealth(): HostHealth {
  const hosts = new Map<string, HostRecord>();

  function get(hostId: string): HostRecord {
    let record = hosts.get(hostId);
    if (!record) {
      record = {
        failed: new Set(),
        excludedUntil: 0,
        exclusionMs: INITIAL_EXCLUSION_MS,
      };
      hosts.set(hostId, record);
    }
    return record;
  }

  function markUnhealthy(record: HostRecord, now: number): boolean {
    if (now < record.excludedUntil) return false;
    record.excludedUntil = now + record.exclusionMs;
    record.exclusionMs = Math.min(MAX_EXCLUSION_MS, record.exclusionMs * 2);
    return true;
  }

  return {
    recordSuccess(hostId) {
      const record = get(hostId);
      record.failed.clear();
      record.exclusionMs = INITIAL_EXCLUSION_MS;
    },
    recordFailure(hostId, workflowId, now) {
      const record = get(hostId);
      record.failed.add(workflowId);
      return record.failed.size >= FAILURE_LIMIT && markUnhealthy(record, now);
    },
    recordStall: (hostId, now) => markUnhealthy(get(hostId), now),
    getStatus(hostId, now) {
      const record = hosts.get(hostId);
      if (!record) return HostStatus.Healthy;
      if (now < record.excludedUntil) return HostStatus.Unhealthy;
      return record.failed.size >= FAILURE_LIMIT
        ? HostStatus.Degraded
        : HostStatus.Healthy;
    },
    retain(hostIds) {
      for (const id of hosts.keys()) if (!hostIds.has(id)) hosts.delete(id);
    },
  };
}
