import type {Result} from 'true-myth/result';
import {Machine} from '../../types/workflow';

/** Why an order for a machine was not carried out. */
export enum MachineOrderFailure {
  /** No answer: it may have been carried out. */
  NoAnswer = 'no-answer',
  /** A later holder has given orders. */
  Fenced = 'fenced',
  /** The machine is not up, or is leaving. */
  Busy = 'busy',
  /** The machine is not part of the wave. */
  NotInWave = 'not-in-wave',
  /** There is no such machine, or it can't join that pool. */
  Impossible = 'impossible',
  /** Nothing was done; may be tried again. */
  Refused = 'refused',
}

/** Who orders, and under which fencing token. */
export interface MachineOrderHolder {
  readonly holder: string;
  readonly fence: number;
}

/** The platform's machines; no call throws. */
export interface Machines {
  list(): Promise<Result<readonly Machine[], MachineOrderFailure>>;
  /** Ends all that runs on a machine and moves it to a pool. */
  move(
    machine: string,
    pool: string,
    holder: MachineOrderHolder,
  ): Promise<Result<void, MachineOrderFailure>>;
  /** Ends all that runs on a machine and services it for a wave. */
  service(
    machine: string,
    wave: number,
    holder: MachineOrderHolder,
  ): Promise<Result<void, MachineOrderFailure>>;
}
