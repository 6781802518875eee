import {Outcome} from '../../types';
import {ClaimRecord} from './claim_record';
import {ClaimReply} from './claim_reply';
import {ClaimRequest} from './claim_request';
import {ClaimVerdict} from './claim_verdict';

/**
 * Returns the reply to a claim of a key that has a record.
 *
 * @param record state of the key
 * @param request the claim
 * @returns the reply; Granted if the same request already holds the claim
 */
export function evaluateClaim(
  record: ClaimRecord,
  request: ClaimRequest,
): ClaimReply {
  if (record.fingerprint !== request.fingerprint) {
    return {verdict: ClaimVerdict.Mismatched};
  }
  if (record.outcome === Outcome.Run) {
    return {verdict: ClaimVerdict.Finished, answer: record.answer};
  }
  if (record.outcome) return {verdict: ClaimVerdict.Unknown};
  const isSameRequest = record.requestId === request.requestId;
  return {verdict: isSameRequest ? ClaimVerdict.Granted : ClaimVerdict.Running};
}
