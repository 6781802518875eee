import {Outcome} from '../../types';
import {RecordedAnswer} from './recorded_answer';

/** What is known of one claimed key. */
export interface ClaimRecord {
  readonly requestId: string;
  readonly fingerprint: string;
  /** How the request ended; undefined until its end is recorded. */
  readonly outcome?: Outcome;
  readonly answer?: RecordedAnswer;
  /** Number of the generation that holds the last change. */
  readonly generation: number;
}
