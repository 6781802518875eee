import {Host, Job, JobSize} from '../../types';
import {PoolSlots} from '../slots';

/** Resources of a worker that are reserved for one attempt. */
export interface Holding {
  readonly job: Job;
  readonly hostId: string;
  readonly attempt: number;
  readonly size: JobSize;
  /** Monotonic time at which the resources were reserved, in ms. */
  readonly since: number;
}

/** Resources reserved for the jobs of a pool; the slots are reserved in the shared slot ledger. */
export interface HeldSlots {
  /** Reserves resources for an attempt; returns false if the host has too few free slots. */
  reserve(holding: Holding): boolean;
  /** Records the resources that a running attempt already uses, after a takeover. */
  adopt(holding: Holding): void;
  /** Frees the resources of a job. */
  release(jobId: string): void;
  /** Frees the resources of an attempt that has ended before its end is recorded. */
  releaseEarly(jobId: string): void;
  get(jobId: string): Holding | undefined;
  all(): Iterable<Holding>;
  /** Returns the number of slots reserved for jobs. */
  count(): number;
  /** Returns the free processors, memory and accelerators of a host. */
  room(host: Host): Omit<JobSize, 'slots'>;
}

/** Creates the reservations of a pool on top of its slot ledger. */
export function createHeldSlots(slots: PoolSlots): HeldSlots {
  const holdings = new Map<string, Holding>();
  /** Attempts whose resources were freed before their end was recorded, by job id. */
  const early = new Map<string, number>();

  function holdingsOf(hostId: string): readonly Holding[] {
    return [...holdings.values()].filter(h => h.hostId === hostId);
  }

  function release(jobId: string): void {
    if (!holdings.delete(jobId)) return;
    slots.release(jobId);
  }

  return {
    reserve(holding) {
      const {job, hostId, size} = holding;
      if (!slots.reserve(job.id, hostId, size.slots)) return false;
      holdings.set(job.id, holding);
      early.delete(job.id);
      return true;
    },
    adopt(holding) {
      if (early.get(holding.job.id) === holding.attempt) return;
      slots.adopt(holding.job.id, holding.hostId, holding.size.slots);
      holdings.set(holding.job.id, holding);
    },
    release,
    releaseEarly(jobId) {
      const holding = holdings.get(jobId);
      if (holding) early.set(jobId, holding.attempt);
      release(jobId);
    },
    get: jobId => holdings.get(jobId),
    all: () => holdings.values(),
    count: () =>
      [...holdings.values()].reduce((sum, {size}) => sum + size.slots, 0),
    room(host) {
      let {processors, memoryMb, accelerators} = host;
      for (const {size} of holdingsOf(host.id)) {
        processors -= size.processors;
        memoryMb -= size.memoryMb;
        accelerators -= size.accelerators;
      }
      return {processors, memoryMb, accelerators};
    },
  };
}
