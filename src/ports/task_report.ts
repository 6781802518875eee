import {TaskUsage} from '../types';
import {TaskState} from './task_state';

/** A worker's report about a task. */
export interface TaskReport {
  readonly jobId: string;
  readonly attempt: number;
  readonly term: number;
  readonly state: TaskState;
  /** Completed share of the work, 0 to 1. */
  readonly progress: number;
  readonly checkpoint?: string;
  readonly result?: string;
  /** Peak resource usage of the task; updated with a delay. */
  readonly usage?: TaskUsage;
  readonly cause?: string;
}
