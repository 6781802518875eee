/** What a leader's probes have seen of one host; times are in ms since the epoch. */
export interface Observation {
  /** True if the last probe was answered. */
  readonly reachable: boolean;
  /** Probes that failed in a row. */
  readonly failures: number;
  /** Time of the first of these failures. */
  readonly failingSince: number;
  /** Time since which every probe has been answered. */
  readonly answeringSince: number;
  /** Times that the host was found failed within the flap window. */
  readonly flaps: number;
  readonly bootNumber: number;
  readonly draining: boolean;
  readonly leaving: boolean;
  readonly slotsUsed: number;
  /** Tasks that run. */
  readonly tasks: readonly RunningTask[];
  /** Ended tasks whose end the pool's leader has not recorded yet. */
  readonly unreleased: number;
  /** Time since which the host has been draining without a request or running task. */
  readonly emptySince?: number;
}

/** A task that keeps a host from being empty. */
export interface RunningTask {
  readonly jobId: string;
  readonly attempt: number;
}

/** Longest wait for ended tasks to be recorded before a reboot, in ms. */
const RELEASE_MS = 10_000;
const FAILURES = 3;
const FAILING_MS = 2_000;
const STEADY_MS = 2_000;
const FLAPPING_STEADY_MS = 60_000;
const FLAPS = 3;

/** Tells whether probes have failed often and long enough to call a host failed. */
export function isFailed(seen: Observation, now: number): boolean {
  return seen.failures >= FAILURES && now - seen.failingSince >= FAILING_MS;
}

/** Tells whether a draining host can reboot without losing requests or results. */
export function isEmpty(seen: Observation, now: number): boolean {
  if (!seen.reachable || !seen.draining || seen.emptySince === undefined) {
    return false;
  }
  return seen.unreleased === 0 || now - seen.emptySince >= RELEASE_MS;
}

/** Tells whether a host has answered long enough to return; longer for one that flaps. */
export function isSteady(seen: Observation, now: number): boolean {
  if (!seen.reachable) return false;
  const needed = seen.flaps >= FLAPS ? FLAPPING_STEADY_MS : STEADY_MS;
  return now - seen.answeringSince >= needed;
}
