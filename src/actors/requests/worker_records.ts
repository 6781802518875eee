import {FailureRecord, shouldEject} from '../../decisions/requests';
import {WorkerFailure} from '../../ports';
import {HostState, PoolHost} from '../../types';

/** Latency and failure statistics of a pool's workers at one entry host. */
export interface WorkerRecords {
  /** Sets the pool's hosts; hosts that become active again go through a slow start. */
  follow(hosts: readonly PoolHost[]): void;
  /** Returns how many of a worker's slots may currently be used. */
  limit(hostId: string, slots: number): number;
  /** Returns the ratio of a worker's mean latency to that of the pool; 1 if unknown. */
  getRelativeLatency(hostId: string): number;
  /** Records a successful response and its latency in ms. */
  noteSuccess(hostId: string, latencyMs: number): void;
  /** Records a failure; returns whether the worker is ejected because of it. */
  noteFailure(
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
  closedUntil: number;
  warmingSince: number;
  active: boolean;
}

const LATENCY_WEIGHT = 0.1;
const FAILURE_WEIGHT = 0.2;
const MAX_SAMPLES = 20;
const EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;
const SLOW_START_MS = 5_000;
/** Time for which a worker that refused for lack of a free slot gets no requests. */
const FULL_MS = 15;
/** Time for which a worker that refused because it is leaving gets no requests. */
const LEAVING_MS = 5_000;

/** Creates empty statistics. */
export function createWorkerRecords(): WorkerRecords {
  const records = new Map<string, WorkerRecord>();
  let poolLatencyMs = 0;
  let followed = false;

  function getRecord(hostId: string): WorkerRecord {
    const known = records.get(hostId);
    if (known) return known;
    const created: WorkerRecord = {
      latencyMs: 0,
      failureRatio: 0,
      samples: 0,
      ejections: 0,
      ejectedUntil: Number.NEGATIVE_INFINITY,
      closedUntil: Number.NEGATIVE_INFINITY,
      warmingSince: followed ? performance.now() : Number.NEGATIVE_INFINITY,
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
    const lengthMs = EJECTION_MS * 2 ** record.ejections;
    record.ejectedUntil =
      performance.now() + Math.min(MAX_EJECTION_MS, lengthMs);
    record.warmingSince = record.ejectedUntil;
    record.ejections += 1;
    record.samples = 0;
    record.failureRatio = 0;
  }

  return {
    follow(hosts) {
      const ids = new Set(hosts.map(({host}) => host.id));
      for (const id of records.keys()) if (!ids.has(id)) records.delete(id);
      for (const {host, state} of hosts) {
        const record = getRecord(host.id);
        const active = state === HostState.Active;
        if (active && !record.active) record.warmingSince = performance.now();
        record.active = active;
      }
      if (hosts.length > 0) followed = true;
    },
    limit(hostId, slots) {
      const record = getRecord(hostId);
      const now = performance.now();
      if (now < record.ejectedUntil || now < record.closedUntil) return 0;
      const warmth = (now - record.warmingSince) / SLOW_START_MS;
      if (warmth >= 1) return slots;
      return Math.min(slots, Math.max(1, Math.ceil(slots * warmth)));
    },
    getRelativeLatency(hostId) {
      const {latencyMs} = getRecord(hostId);
      return latencyMs > 0 && poolLatencyMs > 0 ? latencyMs / poolLatencyMs : 1;
    },
    noteSuccess(hostId, latencyMs) {
      const record = getRecord(hostId);
      addSample(record, false);
      if (record.samples === MAX_SAMPLES) record.ejections = 0;
      record.latencyMs = average(record.latencyMs, latencyMs);
      poolLatencyMs = average(poolLatencyMs, latencyMs);
    },
    noteFailure(hostId, failure, maxEjected) {
      const record = getRecord(hostId);
      const now = performance.now();
      switch (failure) {
        case WorkerFailure.Busy:
          record.closedUntil = Math.max(record.closedUntil, now + FULL_MS);
          return false;
        case WorkerFailure.Leaving:
          record.closedUntil = now + LEAVING_MS;
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
