import {FailureRecord, shouldEject} from '../../decisions/requests';
import {WorkerFailure} from '../../ports';
import {HostState, PoolHost} from '../../types';

/** Latency and failure statistics of a pool's workers at one entry host. */
export interface WorkerRecords {
  /**
   * Sets the pool's hosts; hosts that become active again go through a slow
   * start.
   */
  setHosts(hosts: readonly PoolHost[]): void;
  /** Returns how many of a worker's slots may currently be used. */
  limitSlots(hostId: string, slots: number): number;
  /**
   * Returns the ratio of a worker's mean latency to that of the pool; 1 if
   * unknown.
   */
  getRelativeLatency(hostId: string): number;
  /** Records a successful response and its latency in ms. */
  recordSuccess(hostId: string, latencyMs: number): void;
  /** Records a failure; returns whether the worker is ejected because of it. */
  recordFailure(
    hostId: string,
    failure: WorkerFailure | undefined,
    maxEjected: number,
  ): boolean;
}

interface WorkerRecord {
  latencyMs: number;
  failureRatio: number;
  samples: number;
  ejections: number;
  /** Monotonic times, in ms. */
  ejectedUntil: number;
  pausedUntil: number;
  slowStartAt: number;
  active: boolean;
}

/** Weight of the latest sample in the mean latency. */
const LATENCY_WEIGHT = 0.1;
/** Weight of the latest sample in the failure ratio. */
const FAILURE_WEIGHT = 0.2;
const MAX_SAMPLES = 20;
/** Length of the first ejection; doubles with each further one. */
const BASE_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;
/** Time over which the usable slots of a returning worker ramp up. */
const SLOW_START_MS = 5_000;
/**
 * Time for which a worker that refused for lack of a free slot gets no
 * requests.
 */
const BUSY_PAUSE_MS = 15;
/**
 * Time for which a worker that refused because it is leaving gets no requests.
 */
const LEAVING_PAUSE_MS = 5_000;

/** Creates empty statistics. */
export function createWorkerRecords(): WorkerRecords {
  const records = new Map<string, WorkerRecord>();
  let poolLatencyMs = 0;
  let hostsKnown = false;

  function getRecord(hostId: string): WorkerRecord {
    const known = records.get(hostId);
    if (known) return known;
    const created: WorkerRecord = {
      latencyMs: 0,
      failureRatio: 0,
      samples: 0,
      ejections: 0,
      ejectedUntil: Number.NEGATIVE_INFINITY,
      pausedUntil: Number.NEGATIVE_INFINITY,
      slowStartAt: hostsKnown ? performance.now() : Number.NEGATIVE_INFINITY,
      active: true,
    };
    records.set(hostId, created);
    return created;
  }

  function describe(hostId: string, record: WorkerRecord): FailureRecord {
    const {samples, failureRatio} = record;
    const ejected = performance.now() < record.ejectedUntil;
    return {hostId, samples, failureRatio, ejected};
  }

  function addSample(record: WorkerRecord, failed: boolean): void {
    const value = failed ? 1 : 0;
    record.samples = Math.min(MAX_SAMPLES, record.samples + 1);
    record.failureRatio += FAILURE_WEIGHT * (value - record.failureRatio);
  }

  function ejectIfOutlier(hostId: string, maxEjected: number): boolean {
    const all = [...records].map(([id, record]) => describe(id, record));
    const ejected = all.filter(record => record.ejected).length;
    const subject = all.find(record => record.hostId === hostId);
    const others = all.filter(record => record.hostId !== hostId);
    if (!subject || !shouldEject(subject, others, maxEjected - ejected)) {
      return false;
    }
    eject(getRecord(hostId));
    return true;
  }

  function eject(record: WorkerRecord): void {
    const durationMs = BASE_EJECTION_MS * 2 ** record.ejections;
    record.ejectedUntil =
      performance.now() + Math.min(MAX_EJECTION_MS, durationMs);
    record.slowStartAt = record.ejectedUntil;
    record.ejections += 1;
    record.samples = 0;
    record.failureRatio = 0;
  }

  return {
    setHosts(hosts) {
      const ids = new Set(hosts.map(({host}) => host.id));
      for (const id of records.keys()) if (!ids.has(id)) records.delete(id);
      for (const {host, state} of hosts) {
        const record = getRecord(host.id);
        const active = state === HostState.Active;
        if (active && !record.active) record.slowStartAt = performance.now();
        record.active = active;
      }
      if (hosts.length > 0) hostsKnown = true;
    },
    limitSlots(hostId, slots) {
      const record = getRecord(hostId);
      const now = performance.now();
      if (now < record.ejectedUntil || now < record.pausedUntil) return 0;
      const rampUp = (now - record.slowStartAt) / SLOW_START_MS;
      if (rampUp >= 1) return slots;
      return Math.min(slots, Math.max(1, Math.ceil(slots * rampUp)));
    },
    getRelativeLatency(hostId) {
      const {latencyMs} = getRecord(hostId);
      return latencyMs > 0 && poolLatencyMs > 0 ? latencyMs / poolLatencyMs : 1;
    },
    recordSuccess(hostId, latencyMs) {
      const record = getRecord(hostId);
      addSample(record, false);
      if (record.samples === MAX_SAMPLES) record.ejections = 0;
      record.latencyMs = average(record.latencyMs, latencyMs);
      poolLatencyMs = average(poolLatencyMs, latencyMs);
    },
    recordFailure(hostId, failure, maxEjected) {
      const record = getRecord(hostId);
      const now = performance.now();
      switch (failure) {
        case WorkerFailure.Busy:
          record.pausedUntil = Math.max(
            record.pausedUntil,
            now + BUSY_PAUSE_MS,
          );
          return false;
        case WorkerFailure.Leaving:
          record.pausedUntil = now + LEAVING_PAUSE_MS;
          return false;
        case WorkerFailure.Cancelled:
          return false;
        default:
          addSample(record, true);
          return ejectIfOutlier(hostId, maxEjected);
      }
    },
  };
}

function average(known: number, value: number): number {
  return known === 0 ? value : known + LATENCY_WEIGHT * (value - known);
}
