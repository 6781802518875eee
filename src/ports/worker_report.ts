import {TaskReport} from './task_report';

/** A worker's report about itself; resource usage is updated with a delay. */
export interface WorkerReport {
  readonly hostId: string;
  readonly leaving: boolean;
  readonly draining: boolean;
  readonly slots: number;
  readonly slotsUsed: number;
  readonly connections: number;
  readonly connectionsUsed: number;
  /** Incremented with every reboot. */
  readonly bootNumber: number;
  /** Processors used, averaged over the last usage period. */
  readonly processorsUsed: number;
  readonly memoryUsedMb: number;
  readonly tasks: readonly TaskReport[];
}
