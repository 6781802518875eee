import type {Result} from 'true-myth/result';
import {Host} from '../types';

/** The platform's list of live and leaving hosts; eventually consistent. */
export interface HostList {
  /**
   * Reads the whole list; the error is a message that states why reading
   * failed.
   */
  read(): Promise<Result<readonly Host[], string>>;
  /** Closes connections. */
  dispose(): void;
}
