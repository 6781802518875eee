/**
 * Probe results of one host, as collected by a leader; times are in ms since
 * the epoch.
 */
export interface Observation {
  /** Whether the last probe was answered. */
  readonly reachable: boolean;
  /** Number of consecutive failed probes. */
  readonly failures: number;
  /** Time of the first of these failures. */
  readonly failingSince: number;
  /** Time since which every probe has been answered. */
  readonly answeringSince: number;
  /** Number of times that the host failed within the flap window. */
  readonly flaps: number;
  readonly bootNumber: number;
  readonly draining: boolean;
  readonly leaving: boolean;
  readonly slotsUsed: number;
  /** Running tasks. */
  readonly tasks: readonly RunningTask[];
  /** Number of ended tasks whose end the pool's leader has not recorded yet. */
  readonly unreleased: number;
  /**
   * Time since which the host has been draining without a request or running
   * task.
   */
  readonly emptySince?: number;
}

/** A running task; a host with one is not empty. */
export interface RunningTask {
  readonly jobId: string;
  readonly attempt: number;
}

/**
 * Maximum time to wait before a reboot for ended tasks to be recorded, in ms.
 */
const RELEASE_TIMEOUT_MS = 10_000;
/**
 * Minimum number and duration (ms) of consecutive failures before a host counts
 * as failed.
 */
const MIN_FAILURES = 3;
const MIN_FAILING_MS = 2_000;
/**
 * Time in ms for which a host must answer probes before it returns to service.
 */
const MIN_ANSWERING_MS = 2_000;
/**
 * Time in ms for which a flapping host must answer probes before it returns to
 * service.
 */
const MIN_FLAPPING_ANSWERING_MS = 60_000;
/** Number of failures within the flap window from which a host is flapping. */
const MIN_FLAPS = 3;

/**
 * Returns whether enough probes have failed over a long enough time to consider
 * a host failed.
 */
export function isFailed(seen: Observation, now: number): boolean {
  return (
    seen.failures >= MIN_FAILURES && now - seen.failingSince >= MIN_FAILING_MS
  );
}

/**
 * Returns whether a draining host can reboot without losing requests or
 * results.
 */
export function isEmpty(seen: Observation, now: number): boolean {
  if (!seen.reachable || !seen.draining || seen.emptySince === undefined) {
    return false;
  }
  return seen.unreleased === 0 || now - seen.emptySince >= RELEASE_TIMEOUT_MS;
}

/**
 * Returns whether a host has answered probes for long enough to return to
 * service; a flapping host takes longer.
 */
export function isStable(seen: Observation, now: number): boolean {
  if (!seen.reachable) return false;
  const needed =
    seen.flaps >= MIN_FLAPS ? MIN_FLAPPING_ANSWERING_MS : MIN_ANSWERING_MS;
  return now - seen.answeringSince >= needed;
}
