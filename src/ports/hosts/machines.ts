import type {Result} from 'true-myth/result';
import {Machine} from '../../types/workflow';

/** Why an order for a machine failed. */
export enum MachineOrderFailure {
  /** No answer; the order may have been carried out. */
  NoAnswer = 'no-answer',
  /** A newer leader has given orders. */
  Fenced = 'fenced',
  /** The machine is not up, or is leaving. */
  Busy = 'busy',
  /** The machine is not part of the wave. */
  NotInWave = 'not-in-wave',
  /** The machine does not exist or cannot join the pool. */
  Impossible = 'impossible',
  /** The order was not carried out and may be retried. */
  Refused = 'refused',
}

/** Identity and fencing token under which an order is given. */
export interface MachineOrderHolder {
  readonly holder: string;
  readonly fence: number;
}

/** API of the platform's machines; no call throws. */
export interface Machines {
  list(): Promise<Result<readonly Machine[], MachineOrderFailure>>;
  /** Moves a machine to a pool; ends everything that runs on it. */
  move(
    machine: string,
    pool: string,
    holder: MachineOrderHolder,
  ): Promise<Result<void, MachineOrderFailure>>;
  /**
   * Starts a machine's maintenance for a wave; ends everything that runs on it.
   */
  service(
    machine: string,
    wave: number,
    holder: MachineOrderHolder,
  ): Promise<Result<void, MachineOrderFailure>>;
}
