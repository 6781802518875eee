import {MAX_ATTEMPTS} from './request_retrier';
import {WaitingRequest} from './waiting_request';

/** Time reserved for returning the response to the caller. */
const RESPONSE_MARGIN_MS = 5;
/**
 * First-byte timeout of an attempt, as a multiple of the service's mean run
 * time.
 */
const FIRST_BYTE_TIMEOUT_RUNS = 4;

/**
 * Returns the maximum run time, in ms, that still lets the response reach the
 * caller before the deadline.
 *
 * @param deadlineAt monotonic time of the deadline, in ms
 * @param now current monotonic time, in ms
 */
export function findMaxRunTime(deadlineAt: number, now: number): number {
  return deadlineAt - now - RESPONSE_MARGIN_MS;
}

/**
 * Returns the timeout of one attempt, in ms.
 *
 * @param waiting the request to send
 * @param now current monotonic time, in ms
 */
export function findAttemptTimeout(
  {deadlineAt}: WaitingRequest,
  now: number,
): number {
  return Math.max(1, Math.floor(findMaxRunTime(deadlineAt, now)));
}

/**
 * Returns the first-byte timeout of an attempt.
 *
 * There is a timeout only if the request may be retried and a retry would still
 * have time to run before the deadline.
 *
 * @param waiting the request to send
 * @param timeoutMs timeout of the whole attempt, in ms
 * @param runMs mean run time of the service, in ms
 * @param minTimeoutMs lower bound of the first-byte timeout, in ms
 * @returns the first-byte timeout in ms, or undefined if there is none
 */
export function findFirstByteTimeout(
  {idempotent, attempts}: WaitingRequest,
  timeoutMs: number,
  runMs: number,
  minTimeoutMs: number,
): number | undefined {
  if (!idempotent || attempts + 1 >= MAX_ATTEMPTS) return undefined;
  const firstByteTimeoutMs = Math.max(
    minTimeoutMs,
    FIRST_BYTE_TIMEOUT_RUNS * runMs,
  );
  return firstByteTimeoutMs + runMs < timeoutMs
    ? firstByteTimeoutMs
    : undefined;
}
