import {Outcome} from '../../types';
import {ClaimEventKind} from './claim_event_kind';
import {RecordedAnswer} from './recorded_answer';

/** A stored change of a key's claim. */
export interface ClaimEvent {
  readonly kind: ClaimEventKind;
  readonly key: string;
  readonly requestId: string;
  /** Digest of the request; only for claims. */
  readonly fingerprint?: string;
  /** Outcome of the request; only for finishes. */
  readonly outcome?: Outcome;
  readonly answer?: RecordedAnswer;
}
