import {AdmissionRefusal, TaskRefusal} from '../../decisions/workflows';
import {SubmitOutcome} from './submit_outcome';

/** Answer to a submission. */
export interface SubmitAnswer {
  readonly outcome: SubmitOutcome;
  /**
   * Time in ms after which to submit again; set if the outcome is `Refused` or
   * `Unavailable`.
   */
  readonly retryAfterMs?: number;
  /** What decided a refusal; set if the outcome is `Refused`. */
  readonly refusal?: AdmissionRefusal | TaskRefusal;
}
