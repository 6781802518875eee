import {RunningTask, TaskEnd} from '../../types/workflow';
import {HostAnswer} from './host_answer';

/** A host's report about its runs. */
export interface HoldReport extends HostAnswer {
  /**
   * Unix time in ms at which the host incarnation started; 0 if not reported.
   */
  readonly bornAt: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly TaskEnd[];
}
