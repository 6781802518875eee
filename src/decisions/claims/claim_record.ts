import {Outcome} from '../../types';
import {RecordedAnswer} from './recorded_answer';

/** State of one claimed key. */
export interface ClaimRecord {
  readonly requestId: string;
  readonly fingerprint: string;
  /** Outcome of the request; undefined until its end is recorded. */
  readonly outcome?: Outcome;
  readonly answer?: RecordedAnswer;
  /** Number of the generation that contains the last change. */
  readonly generation: number;
}
