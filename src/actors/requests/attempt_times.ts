import {MAX_ATTEMPTS} from './request_retrier';
import {WaitingRequest} from './waiting_request';

/** Time kept for an answer's way back to the caller. */
const ANSWER_MARGIN_MS = 5;
/** Mean runs after which an answer's first byte is overdue. */
const SILENT_RUNS = 4;

/**
 * Returns the time left for a run whose answer still reaches the caller in time.
 *
 * @param deadlineAt monotonic time of the deadline in ms
 * @param now monotonic time in ms
 */
export function findRunTime(deadlineAt: number, now: number): number {
  return deadlineAt - now - ANSWER_MARGIN_MS;
}

/**
 * Returns the time limit of one attempt in ms.
 *
 * @param waiting the request
 * @param now monotonic time in ms
 */
export function findAttemptTimeout(
  {deadlineAt}: WaitingRequest,
  now: number,
): number {
  return Math.max(1, Math.floor(findRunTime(deadlineAt, now)));
}

/**
 * Limits an attempt's silence only if a retry would have time to run.
 *
 * @param waiting the request
 * @param timeoutMs time limit of the attempt
 * @param runMs mean run time of the service
 * @param leastMs least wait for the first byte
 * @returns the wait for the first byte in ms, or undefined for no limit
 */
export function findAttemptSilence(
  {idempotent, attempts}: WaitingRequest,
  timeoutMs: number,
  runMs: number,
  leastMs: number,
): number | undefined {
  if (!idempotent || attempts + 1 >= MAX_ATTEMPTS) return undefined;
  const silenceMs = Math.max(leastMs, SILENT_RUNS * runMs);
  return silenceMs + runMs < timeoutMs ? silenceMs : undefined;
}
