import {TaskUsage} from '../types';
import {TaskState} from './task_state';

/** A worker's word about one task. */
export interface TaskReport {
  readonly jobId: string;
  readonly attempt: number;
  readonly term: number;
  readonly state: TaskState;
  /** Share of the work done, 0 to 1. */
  readonly progress: number;
  readonly checkpoint?: string;
  readonly result?: string;
  /** Most that the task was seen to use; lags. */
  readonly usage?: TaskUsage;
  readonly cause?: string;
}
