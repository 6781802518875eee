import {WorkerFailure} from '../../ports';
import {Outcome, RetryReason} from '../../types';

const REASONS: Readonly<Partial<Record<WorkerFailure, RetryReason>>> = {
  [WorkerFailure.ConnectFailed]: RetryReason.ConnectFailed,
  [WorkerFailure.Busy]: RetryReason.WorkerBusy,
  [WorkerFailure.Leaving]: RetryReason.WorkerLeaving,
  [WorkerFailure.ConnectionLost]: RetryReason.ConnectionLost,
  [WorkerFailure.Silent]: RetryReason.ConnectionSilent,
  [WorkerFailure.Truncated]: RetryReason.Truncated,
  [WorkerFailure.Mismatched]: RetryReason.Mismatched,
};

const NOT_RUN: readonly WorkerFailure[] = [
  WorkerFailure.ConnectFailed,
  WorkerFailure.Busy,
  WorkerFailure.Leaving,
];

/**
 * Tells what is certain about a request after a failed attempt.
 *
 * @param failure what went wrong
 * @returns NotRun only if no byte of it can have been run
 */
export function outcomeOf(failure: WorkerFailure): Outcome {
  return NOT_RUN.includes(failure) ? Outcome.NotRun : Outcome.Unknown;
}

/**
 * Decides whether a failed attempt may be sent again.
 *
 * @param failure what went wrong
 * @param idempotent whether the request may be run more than once
 * @returns the reason to count the retry under, or undefined for none
 */
export function findRetryReason(
  failure: WorkerFailure,
  idempotent: boolean,
): RetryReason | undefined {
  const safe = idempotent || outcomeOf(failure) === Outcome.NotRun;
  return safe ? REASONS[failure] : undefined;
}
