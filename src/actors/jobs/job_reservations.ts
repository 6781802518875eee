import {Host, Job, JobSize} from '../../types';
import {PoolSlots} from '../slots';

/** Resources of a worker that are reserved for one attempt. */
export interface JobReservation {
  readonly job: Job;
  readonly hostId: string;
  readonly attempt: number;
  readonly size: JobSize;
  /** Monotonic time at which the resources were reserved, in ms. */
  readonly since: number;
}

/**
 * Resources reserved for the jobs of a pool; the slots are reserved in the
 * shared slot ledger.
 */
export interface JobReservations {
  /**
   * Reserves resources for an attempt; returns false if the host has too few
   * free slots.
   */
  reserve(reservation: JobReservation): boolean;
  /**
   * Records the resources that a running attempt already uses, after a
   * takeover.
   */
  adopt(reservation: JobReservation): void;
  /** Frees the resources of a job. */
  release(jobId: string): void;
  /**
   * Frees the resources of an attempt that has ended before its end is
   * recorded.
   */
  releaseEarly(jobId: string): void;
  get(jobId: string): JobReservation | undefined;
  all(): Iterable<JobReservation>;
  /** Returns the number of slots reserved for jobs. */
  countSlots(): number;
  /** Returns the free processors, memory and accelerators of a host. */
  getFreeResources(host: Host): Omit<JobSize, 'slots'>;
}

/** Creates the reservations of a pool on top of its slot ledger. */
export function createJobReservations(slots: PoolSlots): JobReservations {
  const reservations = new Map<string, JobReservation>();
  /**
   * Attempts whose resources were freed before their end was recorded, by job
   * id.
   */
  const releasedEarly = new Map<string, number>();

  function reservationsOn(hostId: string): readonly JobReservation[] {
    return [...reservations.values()].filter(h => h.hostId === hostId);
  }

  function release(jobId: string): void {
    if (!reservations.delete(jobId)) return;
    slots.release(jobId);
  }

  return {
    reserve(reservation) {
      const {job, hostId, size} = reservation;
      if (!slots.reserve(job.id, hostId, size.slots)) return false;
      reservations.set(job.id, reservation);
      releasedEarly.delete(job.id);
      return true;
    },
    adopt(reservation) {
      if (releasedEarly.get(reservation.job.id) === reservation.attempt) return;
      slots.adopt(
        reservation.job.id,
        reservation.hostId,
        reservation.size.slots,
      );
      reservations.set(reservation.job.id, reservation);
    },
    release,
    releaseEarly(jobId) {
      const reservation = reservations.get(jobId);
      if (reservation) releasedEarly.set(jobId, reservation.attempt);
      release(jobId);
    },
    get: jobId => reservations.get(jobId),
    all: () => reservations.values(),
    countSlots: () =>
      [...reservations.values()].reduce((sum, {size}) => sum + size.slots, 0),
    getFreeResources(host) {
      let {processors, memoryMb, accelerators} = host;
      for (const {size} of reservationsOn(host.id)) {
        processors -= size.processors;
        memoryMb -= size.memoryMb;
        accelerators -= size.accelerators;
      }
      return {processors, memoryMb, accelerators};
    },
  };
}
