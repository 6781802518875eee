import {RequestAnswer} from './request_answer';
import {RequestAttempt} from './request_attempt';
import {RequestRun} from './request_run';

/** Everything that was sent, run and answered in one concurrent run. */
export interface RequestHistory {
  readonly attempts: readonly RequestAttempt[];
  readonly runs: readonly RequestRun[];
  readonly answers: readonly RequestAnswer[];
}
