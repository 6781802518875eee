import {Host, Job, JobSize} from '../../types';
import {PoolSlots} from '../slots';

/** One attempt that holds a worker's room. */
export interface Holding {
  readonly job: Job;
  readonly hostId: string;
  readonly attempt: number;
  readonly size: JobSize;
  /** Monotonic time in ms from which the room is held. */
  readonly since: number;
}

/** The room that long work holds in a pool; its slots are in the shared ledger. */
export interface HeldSlots {
  /** Takes room for an attempt; false if the ledger has too few slots. */
  reserve(holding: Holding): boolean;
  /** Records room that a running attempt already holds. */
  adopt(holding: Holding): void;
  /** Gives a job's room back. */
  release(jobId: string): void;
  /** Gives the room of an ended attempt back before its record says so. */
  releaseEarly(jobId: string): void;
  get(jobId: string): Holding | undefined;
  all(): Iterable<Holding>;
  /** Returns the slots that long work holds. */
  count(): number;
  /** Returns what is left of a host's processors, memory and accelerators. */
  room(host: Host): Omit<JobSize, 'slots'>;
}

/** Creates a record of room over a pool's ledger of slots. */
export function createHeldSlots(slots: PoolSlots): HeldSlots {
  const holdings = new Map<string, Holding>();
  /** Attempts by job whose room was given back early. */
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
