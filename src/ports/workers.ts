import type {Result} from 'true-myth/result';
import {Host} from '../types';
import {PoolFence} from './pool_fence';
import {TaskOrder} from './task_order';
import {TaskReport} from './task_report';
import {TaskStart} from './task_start';
import {WorkerFailure} from './worker_failure';
import {WorkerReport} from './worker_report';
import {WorkerRequest} from './worker_request';
import {WorkerResponse} from './worker_response';

/** Calls to workers; no call throws. */
export interface Workers {
  /** Sends one interactive request and resolves when the answer's headers are in. */
  send(
    host: Host,
    request: WorkerRequest,
  ): Promise<Result<WorkerResponse, WorkerFailure>>;
  /**
   * Asks a worker for its state and tasks.
   *
   * With a fence, the worker refuses every lower term of the pool from then on
   * and renews the leases of the tasks that the fence names.
   */
  report(
    host: Host,
    fence?: PoolFence,
  ): Promise<Result<WorkerReport, WorkerFailure>>;
  /** Starts a task; repeated with the same job, attempt and term it changes nothing. */
  startTask(
    host: Host,
    start: TaskStart,
  ): Promise<Result<TaskReport, WorkerFailure>>;
  /**
   * Gives an order for a task under a term.
   *
   * The stop of an unknown attempt forbids the worker to start it later.
   */
  orderTask(
    host: Host,
    jobId: string,
    attempt: number,
    term: number,
    order: TaskOrder,
  ): Promise<Result<TaskReport, WorkerFailure>>;
  /** Makes a worker refuse new work, or accept it again. */
  setDraining(
    host: Host,
    draining: boolean,
  ): Promise<Result<void, WorkerFailure>>;
  /** Reboots a drained worker for maintenance, unless it has left the given boot. */
  reboot(host: Host, bootNumber?: number): Promise<Result<void, WorkerFailure>>;
  /** Closes connections. */
  dispose(): void;
}
