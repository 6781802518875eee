/** Bounds of a host's own steady clock, which may be slow, from what it told. */
export interface HostClock {
  /** Takes over a clock that the host told just now, in ms. */
  observe(clockMs: number | undefined): void;
  /** Returns the host's clock as it is at the most, in ms; undefined if it never told it. */
  estimate(): number | undefined;
  /** Notes that a lease up to a time of the host's clock was ordered. */
  noteLease(untilMs: number): void;
  /** The host obeys this leader now: no other one extends its leases any more. */
  noteFenceAccepted(leaseMs: number): void;
  /** Tells whether every lease that was ordered has certainly ended. */
  hasCertainlyLapsed(): boolean;
}

/** Least pace of a host's clock: the platform's bound is 2% slow. */
export const MIN_CLOCK_RATE = 0.98;

/** Most in ms by which a leader's estimate of a host's clock runs ahead: 2% of the time between two reports, and a slow answer. */
const ESTIMATE_SLACK_MS = 250;

/**
 * Creates the clock of a host.
 *
 * @param unknownLeaseMs longest time in ms for which leases that others ordered may last from now
 */
export function createHostClock(unknownLeaseMs: number): HostClock {
  let unknownLeasesUntil = performance.now() + unknownLeaseMs;
  let reportedMs: number | undefined;
  let reportedAt = 0;
  let leaseUntil: number | undefined;

  return {
    observe(clockMs) {
      if (clockMs === undefined) return;
      reportedMs = clockMs;
      reportedAt = performance.now();
    },
    estimate: () =>
      reportedMs === undefined
        ? undefined
        : Math.round(reportedMs + performance.now() - reportedAt),
    noteLease(untilMs) {
      leaseUntil = Math.max(leaseUntil ?? 0, untilMs);
    },
    noteFenceAccepted(leaseMs) {
      if (reportedMs === undefined) return;
      unknownLeasesUntil = 0;
      leaseUntil = Math.max(
        leaseUntil ?? 0,
        reportedMs + leaseMs + ESTIMATE_SLACK_MS,
      );
    },
    hasCertainlyLapsed() {
      const now = performance.now();
      if (reportedMs === undefined) return now > unknownLeasesUntil;
      const lowestClockMs = reportedMs + (now - reportedAt) * MIN_CLOCK_RATE;
      return (
        now > unknownLeasesUntil &&
        (leaseUntil === undefined || lowestClockMs > leaseUntil)
      );
    },
  };
}
