/**
 * Estimates a host's monotonic clock from the values it reports. The clock may
 * run slower than the local one.
 */
export interface HostClock {
  /**
   * Records a clock value in ms that the host has just reported; undefined is
   * ignored.
   */
  observe(clockMs: number | undefined): void;
  /**
   * Returns whether a value can be one of this clock; false if the clock had a
   * higher one before the call that reports it. An answer that another one has
   * overtaken may have a lower value.
   *
   * @param sentAt monotonic time of the call in ms
   */
  canReport(clockMs: number | undefined, sentAt: number): boolean;
  /**
   * Returns the estimated current value of the host's clock in ms, assuming
   * that it is not slow; undefined if the host has not reported it.
   */
  estimate(): number | undefined;
  /**
   * Records the time on the host's clock, in ms, at which a lease expires that
   * is granted by a call sent now.
   */
  recordLease(untilMs: number): void;
  /**
   * Records that the host has accepted this leader's fencing token, after which
   * earlier leaders can no longer extend its leases.
   */
  recordFenceAccepted(leaseMs: number): void;
  /**
   * Returns whether all granted leases have certainly expired on the host's
   * clock.
   */
  hasCertainlyExpired(): boolean;
  /**
   * The same for the clock of a later incarnation that the calls may have
   * reached. To it the recorded times are far ahead, so it has granted a lease
   * of the maximum length.
   */
  hasCertainlyExpiredOnNext(): boolean;
}

/**
 * Minimum rate of a host's clock; the platform limits the clock error to 2%
 * slow.
 */
export const MIN_CLOCK_RATE = 0.98;

/**
 * Maximum error of a leader's estimate above a host's real clock, in ms: 2%
 * drift between two reports plus the delay of a slow answer.
 */
const ESTIMATE_SLACK_MS = 250;

/**
 * Creates the clock estimate of one host incarnation.
 *
 * @param maxLeaseMs maximum length in ms of a lease that hosts accept
 * @param earlierLeaseMs maximum remaining time in ms of leases granted by
 *     earlier leaders
 * @param misdirectedLeaseMs maximum remaining time in ms of leases that this
 *     leader may have granted in calls to the incarnation before
 */
export function createHostClock(
  maxLeaseMs: number,
  earlierLeaseMs: number,
  misdirectedLeaseMs = 0,
): HostClock {
  const misdirectedUntil = performance.now() + misdirectedLeaseMs;
  let earlierLeasesUntil = performance.now() + earlierLeaseMs;
  let reportedMs: number | undefined;
  let reportedAt = 0;
  let leaseUntil: number | undefined;
  /** Monotonic time in ms of the last call that granted a lease. */
  let grantedAt = -Infinity;

  return {
    observe(clockMs) {
      if (clockMs === undefined) return;
      reportedMs = clockMs;
      reportedAt = performance.now();
    },
    canReport(clockMs, sentAt) {
      if (clockMs === undefined || reportedMs === undefined) return true;
      return clockMs >= reportedMs || sentAt <= reportedAt;
    },
    estimate: () =>
      reportedMs === undefined
        ? undefined
        : Math.round(reportedMs + performance.now() - reportedAt),
    recordLease(untilMs) {
      leaseUntil = Math.max(leaseUntil ?? 0, untilMs);
      grantedAt = performance.now();
    },
    recordFenceAccepted(leaseMs) {
      if (reportedMs === undefined) return;
      earlierLeasesUntil = 0;
      leaseUntil = Math.max(
        leaseUntil ?? 0,
        reportedMs + leaseMs + ESTIMATE_SLACK_MS,
      );
    },
    hasCertainlyExpired() {
      const now = performance.now();
      if (now <= Math.max(earlierLeasesUntil, misdirectedUntil)) return false;
      if (reportedMs === undefined || leaseUntil === undefined) return true;
      const lowestClockMs = reportedMs + (now - reportedAt) * MIN_CLOCK_RATE;
      return lowestClockMs > leaseUntil;
    },
    hasCertainlyExpiredOnNext: () =>
      performance.now() > grantedAt + maxLeaseMs / MIN_CLOCK_RATE,
  };
}
