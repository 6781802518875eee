import {ClaimVerdict} from './claim_verdict';
import {RecordedAnswer} from './recorded_answer';

/** Reply to a claim. */
export interface ClaimReply {
  readonly verdict: ClaimVerdict;
  readonly answer?: RecordedAnswer | null;
}
