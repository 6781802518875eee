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
  /**
   * Sends an interactive request and resolves once the answer's headers have
   * been received.
   */
  send(
    host: Host,
    request: WorkerRequest,
  ): Promise<Result<WorkerResponse, WorkerFailure>>;
  /**
   * Reads a worker's state and tasks.
   *
   * If a fence is given, the worker refuses all lower terms of the pool from
   * then on and renews the leases of the attempts listed in the fence.
   */
  report(
    host: Host,
    fence?: PoolFence,
  ): Promise<Result<WorkerReport, WorkerFailure>>;
  /** Starts a task; idempotent for the same job, attempt and term. */
  startTask(
    host: Host,
    start: TaskStart,
  ): Promise<Result<TaskReport, WorkerFailure>>;
  /**
   * Gives an order for a task under a term.
   *
   * Stopping an unknown attempt prevents the worker from starting it later.
   */
  orderTask(
    host: Host,
    jobId: string,
    attempt: number,
    term: number,
    order: TaskOrder,
  ): Promise<Result<TaskReport, WorkerFailure>>;
  /** Makes a worker refuse new work or accept it again. */
  setDraining(
    host: Host,
    draining: boolean,
  ): Promise<Result<void, WorkerFailure>>;
  /**
   * Reboots a drained worker for maintenance, unless it has rebooted since the
   * given boot.
   */
  reboot(host: Host, bootNumber?: number): Promise<Result<void, WorkerFailure>>;
  /** Closes connections. */
  dispose(): void;
}
