/** A host whose runs are compared with those of the same image elsewhere. */
export interface MeasuredHost {
  readonly id: string;
  /** Empty if it is unknown. */
  readonly rack: string;
}

/** A host that turned out to be slow, or no longer is. */
export interface SpeedChange {
  readonly host: MeasuredHost;
  readonly slow: boolean;
  /** Multiple of the usual run time that the host's runs take. */
  readonly slowness: number;
}

/**
 * Detects hosts and racks on which runs take longer than those of the same
 * image elsewhere, from runs in progress and from ends; times are monotonic, in
 * ms.
 */
export interface HostSpeed {
  /**
   * Records a completed run that took the given multiple of its usual time.
   */
  recordEnd(hostId: string, slowness: number, now: number): void;
  /**
   * Records the runs in progress on a host by the multiple of their usual time
   * that they will take; replaces those recorded before.
   */
  recordProgress(
    host: MeasuredHost,
    slownesses: readonly number[],
    now: number,
  ): void;
  /** Judges all hosts and returns those whose judgement has changed. */
  review(now: number): readonly SpeedChange[];
  /** Returns whether a host was slow at the last review. */
  isSlow(hostId: string): boolean;
  /**
   * Returns the multiple of the usual run time that a host's runs take, drawn
   * towards 1 while few are known.
   */
  getSlowness(hostId: string, now: number): number;
  /** Removes the records of all hosts but the given ones. */
  retain(hostIds: ReadonlyMap<string, unknown>): void;
}

interface SpeedRecord {
  host: MeasuredHost;
  /** Decaying sums over completed runs. */
  ended: number;
  endedRuns: number;
  decayedAt: number;
  /** Sums over runs in progress. */
  running: number;
  runningRuns: number;
  slow: boolean;
}

/**
 * Time constant in ms by which completed runs are forgotten: a host without
 * work is trusted again after a few seconds, and judged by the first runs that
 * it then gets.
 */
const MEMORY_MS = 2_500;
/** Weight of a usual speed, as a number of runs. */
const PRIOR_RUNS = 2;
/**
 * Multiple of the usual run time from which a host is slow. Tasks differ by a
 * third among themselves, so that few runs of a sound host reach it.
 */
const SLOW_FACTOR = 1.7;
/** Bounds of what a single run may say. */
const MIN_SLOWNESS = 0.2;
const MAX_SLOWNESS = 20;
/** Minimum number of judged hosts on a rack to judge the rack. */
const MIN_RACK_HOSTS = 3;
/** Share of the judged hosts of a rack from which the rack is slow. */
const SLOW_RACK_SHARE = 2 / 3;

/** Creates a detector without any records. */
export function createHostSpeed(): HostSpeed {
  const records = new Map<string, SpeedRecord>();

  function get(host: MeasuredHost): SpeedRecord {
    let record = records.get(host.id);
    if (!record) {
      record = {
        host,
        ended: 0,
        endedRuns: 0,
        decayedAt: 0,
        running: 0,
        runningRuns: 0,
        slow: false,
      };
      records.set(host.id, record);
    }
    return record;
  }

  function decay(record: SpeedRecord, now: number): void {
    const factor = Math.exp((record.decayedAt - now) / MEMORY_MS);
    record.ended *= factor;
    record.endedRuns *= factor;
    record.decayedAt = now;
  }

  function judge(record: SpeedRecord, now: number): number {
    decay(record, now);
    const runs = record.endedRuns + record.runningRuns;
    return Math.exp((record.ended + record.running) / (runs + PRIOR_RUNS));
  }

  /** Returns the racks on which most of the hosts with runs are slow. */
  function findSlowRacks(slow: ReadonlySet<SpeedRecord>): ReadonlySet<string> {
    const racks = new Map<string, {judged: number; slow: number}>();
    for (const record of records.values()) {
      const {rack} = record.host;
      if (rack === '' || record.endedRuns + record.runningRuns < 1) continue;
      const counts = racks.get(rack) ?? {judged: 0, slow: 0};
      counts.judged += 1;
      if (slow.has(record)) counts.slow += 1;
      racks.set(rack, counts);
    }
    const slowRacks = new Set<string>();
    for (const [rack, counts] of racks) {
      if (counts.judged < MIN_RACK_HOSTS) continue;
      if (counts.slow >= SLOW_RACK_SHARE * counts.judged) slowRacks.add(rack);
    }
    return slowRacks;
  }

  return {
    recordEnd(hostId, slowness, now) {
      const record = get(records.get(hostId)?.host ?? {id: hostId, rack: ''});
      decay(record, now);
      record.ended += toLogarithm(slowness);
      record.endedRuns += 1;
    },
    recordProgress(host, slownesses, now) {
      if (slownesses.length === 0 && !records.has(host.id)) return;
      const record = get(host);
      decay(record, now);
      record.host = host;
      record.running = slownesses.reduce(
        (sum, slowness) => sum + toLogarithm(slowness),
        0,
      );
      record.runningRuns = slownesses.length;
    },
    review(now) {
      const all = [...records.values()];
      const slow = new Set(all.filter(each => judge(each, now) > SLOW_FACTOR));
      const slowRacks = findSlowRacks(slow);
      const changes: SpeedChange[] = [];
      for (const record of all) {
        const {host} = record;
        const isSlow = slow.has(record) || slowRacks.has(host.rack);
        if (isSlow === record.slow) continue;
        record.slow = isSlow;
        changes.push({host, slow: isSlow, slowness: judge(record, now)});
      }
      return changes;
    },
    isSlow: hostId => records.get(hostId)?.slow ?? false,
    getSlowness(hostId, now) {
      const record = records.get(hostId);
      return record ? judge(record, now) : 1;
    },
    retain(hostIds) {
      for (const id of records.keys()) {
        if (!hostIds.has(id)) records.delete(id);
      }
    },
  };
}

function toLogarithm(slowness: number): number {
  return Math.log(Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness)));
}
