import {RequestAnswer} from './request_answer';
import {RequestAttempt} from './request_attempt';
import {RequestRun} from './request_run';

/**
 * History of concurrent requests: attempts sent, runs at workers and answers
 * received.
 */
export interface RequestHistory {
  readonly attempts: readonly RequestAttempt[];
  readonly runs: readonly RequestRun[];
  readonly answers: readonly RequestAnswer[];
}
