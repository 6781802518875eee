import type {Result} from 'true-myth/result';
import {HoldReport} from './hold_report';
import {HoldRequest} from './hold_request';
import {HostAnswer} from './host_answer';
import {HostCallFailure} from './host_call_failure';
import {HostAddress} from './host_address';
import {RunOrder} from './run_order';
import {StartOrder} from './start_order';

/** Calls to the hosts that run tasks; no call throws. */
export interface TaskHosts {
  start(
    host: HostAddress,
    order: StartOrder,
  ): Promise<Result<HostAnswer, HostCallFailure>>;
  stop(
    host: HostAddress,
    order: RunOrder,
  ): Promise<Result<HostAnswer, HostCallFailure>>;
  /**
   * Throttles a run to a share of its full speed, 0 to 100 percent, which also
   * reduces its interference with other runs.
   */
  pace(
    host: HostAddress,
    order: RunOrder,
    percent: number,
  ): Promise<Result<HostAnswer, HostCallFailure>>;
  /** Extends the lease of all runs; returns the running and the ended ones. */
  hold(
    host: HostAddress,
    request: HoldRequest,
  ): Promise<Result<HoldReport, HostCallFailure>>;
  /** Closes the connections to a host that is no longer in use. */
  disconnect(host: HostAddress): void;
  dispose(): void;
}
