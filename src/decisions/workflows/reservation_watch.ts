import {Reservation, Reservations} from './reservations';

/** A reservation whose time keeps moving. */
export interface LateReservation {
  readonly reservation: Reservation;
  /** Time in ms since the work was first held back. */
  readonly heldMs: number;
  /** Time in ms after which it was first expected to start. */
  readonly promisedMs: number;
}

/**
 * Notices reservations that keep slipping: work that has not started long after
 * the time that it was first promised, as estimates are wrong or more urgent
 * work keeps coming.
 */
export interface ReservationWatch {
  /**
   * Returns the reservations that have become late, each again when the delay
   * has doubled.
   *
   * @param pool the pool of the pass; each is looked at a few times a second
   * @param reservations the reservations of a pass
   * @param now monotonic time in ms
   */
  review(
    pool: string,
    reservations: Reservations,
    now: number,
  ): readonly LateReservation[];
}

/** Delay in ms that is not worth a notice; callers wait about as long. */
const MIN_DELAY_MS = 1_000;
/** Interval in ms at which the reservations of a pool are looked at. */
const INTERVAL_MS = 250;
/** Time in ms after which a group without reservation is forgotten. */
const FORGET_MS = 2_000;

interface Held {
  readonly since: number;
  readonly promisedAt: number;
  noticeAt: number;
  seenAt: number;
}

/** Creates a watch that has seen no reservation. */
export function createReservationWatch(): ReservationWatch {
  const groups = new Map<string, Held>();
  /** Times in ms of the last look, by pool. */
  const seen = new Map<string, number>();

  function see({task, at}: Reservation, now: number): Held {
    let held = groups.get(task.group);
    if (!held) {
      const noticeAt = at + Math.max(MIN_DELAY_MS, at - now);
      held = {since: now, promisedAt: at, noticeAt, seenAt: now};
      groups.set(task.group, held);
    }
    held.seenAt = now;
    return held;
  }

  return {
    review(pool, reservations, now) {
      if (reservations.isEmpty()) return [];
      if (now - (seen.get(pool) ?? -Infinity) < INTERVAL_MS) return [];
      seen.set(pool, now);
      const late: LateReservation[] = [];
      for (const reservation of reservations.list()) {
        const held = see(reservation, now);
        if (now < held.noticeAt) continue;
        held.noticeAt = now + (now - held.promisedAt);
        late.push({
          reservation,
          heldMs: now - held.since,
          promisedMs: held.promisedAt - held.since,
        });
      }
      for (const [group, {seenAt}] of groups) {
        if (now - seenAt > FORGET_MS) groups.delete(group);
      }
      return late;
    },
  };
}
