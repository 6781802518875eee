import {PoolHost} from '../../types';

/** What interactive work lacks in a pool now. */
export interface Shortage {
  /** Slots wanted beyond those lent. */
  readonly slots: number;
  /** Time for which they have been wanted, in ms. */
  readonly forMs: number;
}

/** The leader's ledger of one pool's slots, shared by interactive and long work. */
export interface PoolSlots {
  /** Returns a host's slots that are neither lent nor reserved. */
  getFree(hostId: string): number;
  /** Reserves free slots for a job; false if the host has too few. */
  reserve(jobId: string, hostId: string, slots: number): boolean;
  /** Records the slots of a job that runs already, after a takeover. */
  adopt(jobId: string, hostId: string, slots: number): void;
  /** Gives a job's slots back. */
  release(jobId: string): void;
  /** Returns what interactive work lacks; long work makes room for it. */
  getShortage(): Shortage;
  dispose(): void;
}

interface Reservation {
  readonly hostId: string;
  readonly slots: number;
}

/** Creates a ledger that lends nothing. */
export function createPoolSlots(
  getHosts: () => readonly PoolHost[],
): PoolSlots {
  const reservations = new Map<string, Reservation>();

  function getFree(hostId: string): number {
    const host = getHosts().find(known => known.host.id === hostId)?.host;
    let free = host?.slots ?? 0;
    for (const reservation of reservations.values()) {
      if (reservation.hostId === hostId) free -= reservation.slots;
    }
    return free;
  }

  return {
    getFree,
    reserve(jobId, hostId, slots) {
      if (getFree(hostId) < slots) return false;
      reservations.set(jobId, {hostId, slots});
      return true;
    },
    adopt: (jobId, hostId, slots) =>
      void reservations.set(jobId, {hostId, slots}),
    release: jobId => void reservations.delete(jobId),
    getShortage: () => ({slots: 0, forMs: 0}),
    dispose: () => reservations.clear(),
  };
}
