import {ClaimVerdict} from '../../decisions/claims';
import {Outcome, RefusalReason} from '../../types';
import {Refusal} from '../requests';

const RETRY_AFTER_MS = 1_000;

const UNAVAILABLE: Refusal = {
  reason: RefusalReason.ClaimUnavailable,
  outcome: Outcome.NotRun,
  detail:
    'the idempotency key could not be claimed, so this request was not run; ' +
    'an earlier request with the same key may have run',
  retryAfterMs: RETRY_AFTER_MS,
};

const REFUSALS: Readonly<Partial<Record<ClaimVerdict, Refusal>>> = {
  [ClaimVerdict.Finished]: {
    reason: RefusalReason.AlreadyClaimed,
    outcome: Outcome.Run,
    detail:
      'a request with this key has already run; its response was not recorded',
  },
  [ClaimVerdict.Running]: {
    reason: RefusalReason.AlreadyClaimed,
    outcome: Outcome.Unknown,
    detail:
      'a request with this key currently runs, or may have run without a record of its end',
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
    detail:
      'the key was used by a request with a different method, path or body',
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
