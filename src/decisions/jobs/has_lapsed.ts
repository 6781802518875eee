/** What is known of an attempt whose worker doesn't answer; monotonic times in ms. */
export interface LeaseFacts {
  readonly now: number;
  /** When this leader first saw the attempt. */
  readonly firstSeenAt: number;
  /** Last call of this leader that may have renewed or started it. */
  readonly renewedAt: number;
  /** Whether a leader of an earlier term started it. */
  readonly inherited: boolean;
}

/** Length of a task's lease at its worker. */
export const TASK_LEASE_MS = 12_000;

/** Time for which a worker accepts the start of an attempt. */
export const START_WINDOW_MS = 2_000;

/** Longest time for which a leader that lost the store goes on renewing. */
export const OUTAGE_RENEWAL_MS = 600_000;

const MARGIN_MS = 1_000;

/**
 * Tells whether an attempt's lease has certainly lapsed at a worker that doesn't answer.
 *
 * An earlier leader may have renewed after it lost the store, unseen by this one.
 *
 * @param facts what is known of the attempt
 */
export function hasLapsed(facts: LeaseFacts): boolean {
  const {now, firstSeenAt, renewedAt, inherited} = facts;
  const since = Math.max(firstSeenAt, renewedAt);
  const wait = TASK_LEASE_MS + START_WINDOW_MS + MARGIN_MS;
  return now - since > (inherited ? wait + OUTAGE_RENEWAL_MS : wait);
}
