import {ClaimVerdict} from '../../decisions/claims';
import {Outcome, RefusalReason} from '../../types';
import {Refusal} from '../requests';

const RETRY_AFTER_MS = 1_000;

const UNAVAILABLE: Refusal = {
  reason: RefusalReason.ClaimUnavailable,
  outcome: Outcome.NotRun,
  detail:
    'no claim could be made, so this request was not run; ' +
    'an earlier one with the same key may have been',
  retryAfterMs: RETRY_AFTER_MS,
};

const REFUSALS: Readonly<Partial<Record<ClaimVerdict, Refusal>>> = {
  [ClaimVerdict.Finished]: {
    reason: RefusalReason.AlreadyClaimed,
    outcome: Outcome.Run,
    detail: 'the request was run before; its answer was not kept',
  },
  [ClaimVerdict.Running]: {
    reason: RefusalReason.AlreadyClaimed,
    outcome: Outcome.Unknown,
    detail:
      'a request with this key runs now, or may have run without a record of its end',
    retryAfterMs: RETRY_AFTER_MS,
  },
  [ClaimVerdict.Unknown]: {
    reason: RefusalReason.OutcomeUnknown,
    outcome: Outcome.Unknown,
    detail: 'a request with this key was sent to a worker and may have run',
  },
  [ClaimVerdict.Mismatched]: {
    reason: RefusalReason.Conflict,
    outcome: Outcome.NotRun,
    detail: 'the key belongs to a request with another method, path or body',
  },
};

/**
 * Maps the verdict of a claim that was not granted to a refusal.
 *
 * @param verdict any verdict other than Granted
 */
export function refuseClaim(verdict: ClaimVerdict): Refusal {
  return REFUSALS[verdict] ?? UNAVAILABLE;
}
