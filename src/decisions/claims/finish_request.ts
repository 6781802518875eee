import {Outcome} from '../../types';
import {RecordedAnswer} from './recorded_answer';

/** The end of a claimed request; NotRun gives the claim back. */
export interface FinishRequest {
  readonly partition: number;
  readonly key: string;
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly answer?: RecordedAnswer | null;
}
