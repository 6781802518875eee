import {Outcome} from '../../types';
import {ClaimEventKind} from './claim_event_kind';
import {RecordedAnswer} from './recorded_answer';

/** One change to a key's claim, as stored. */
export interface ClaimEvent {
  readonly kind: ClaimEventKind;
  readonly key: string;
  readonly requestId: string;
  /** Digest of the request; only on a claim. */
  readonly fingerprint?: string;
  /** How the request ended; only on a finish. */
  readonly outcome?: Outcome;
  readonly answer?: RecordedAnswer;
}
