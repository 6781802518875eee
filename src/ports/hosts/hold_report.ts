import {RunningTask, TaskEnd} from '../../types/workflow';
import {HostAnswer} from './host_answer';
import {HostConnection} from './host_connection';

/** A host's report about its runs. */
export interface HoldReport extends HostAnswer {
  /**
   * Unix time in ms at which the host incarnation started; 0 if not reported.
   */
  readonly bornAt: number;
  /** Connection that has delivered it. */
  readonly connection: HostConnection;
  /** Highest end that the call has acknowledged; 0 if none. */
  readonly seenEnd: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly TaskEnd[];
}
