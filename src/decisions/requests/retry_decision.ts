import {WorkerFailure} from '../../ports';
import {Outcome, RetryReason} from '../../types';

/** Retry reasons of the failures that may be retried. */
const REASONS: Readonly<Partial<Record<WorkerFailure, RetryReason>>> = {
  [WorkerFailure.ConnectFailed]: RetryReason.ConnectFailed,
  [WorkerFailure.Busy]: RetryReason.WorkerBusy,
  [WorkerFailure.Leaving]: RetryReason.WorkerLeaving,
  [WorkerFailure.ConnectionLost]: RetryReason.ConnectionLost,
  [WorkerFailure.Silent]: RetryReason.ConnectionSilent,
  [WorkerFailure.Truncated]: RetryReason.Truncated,
  [WorkerFailure.Mismatched]: RetryReason.Mismatched,
};

/** Failures after which the request has certainly not run. */
const NOT_RUN: readonly WorkerFailure[] = [
  WorkerFailure.ConnectFailed,
  WorkerFailure.Busy,
  WorkerFailure.Leaving,
];

/**
 * Returns the outcome of a request after a failed attempt.
 *
 * @param failure failure of the attempt
 * @returns NotRun only if the worker cannot have started the request
 */
export function getOutcome(failure: WorkerFailure): Outcome {
  return NOT_RUN.includes(failure) ? Outcome.NotRun : Outcome.Unknown;
}

/**
 * Decides whether a request may be retried after a failed attempt.
 *
 * @param failure failure of the attempt
 * @param idempotent whether the request may run more than once
 * @returns the reason under which the retry is counted, or undefined if there
 *     must be none
 */
export function findRetryReason(
  failure: WorkerFailure,
  idempotent: boolean,
): RetryReason | undefined {
  const safe = idempotent || getOutcome(failure) === Outcome.NotRun;
  return safe ? REASONS[failure] : undefined;
}
