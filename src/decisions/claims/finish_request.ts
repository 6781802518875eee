import {Outcome} from '../../types';
import {RecordedAnswer} from './recorded_answer';

/**
 * Report of the end of a claimed request; the outcome NotRun releases the
 * claim.
 */
export interface FinishRequest {
  readonly partition: number;
  readonly key: string;
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly answer?: RecordedAnswer | null;
}
