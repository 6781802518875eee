import type {Result} from 'true-myth/result';
import {Host} from '../types';

/** The platform's list of live and leaving hosts; it lags. */
export interface HostList {
  /** Reads the whole list; the error says why it could not be read. */
  read(): Promise<Result<readonly Host[], string>>;
  /** Closes connections. */
  dispose(): void;
}
