import {Selector} from './selector';
import {WaveState} from './wave_state';

/**
 * A declared maintenance wave, stored at waves/ID; times are in ms since the
 * epoch.
 */
export interface Wave {
  readonly id: string;
  readonly selector: Selector;
  readonly reason: string;
  readonly urgent: boolean;
  readonly declaredAt: number;
  readonly dueAt: number;
  readonly state: WaveState;
  /** Human-readable reason for the current state, for operators. */
  readonly cause: string;
  /** Ids of the hosts that the wave covers, determined when it is declared. */
  readonly hostIds: readonly string[];
  /**
   * Ids of the hosts that failed to return and that an operator wrote off by
   * resuming the wave.
   */
  readonly acceptedLosses?: readonly string[];
  /** Time at which the wave was completed or cancelled. */
  readonly endedAt?: number;
  /** Unique id of the write, which makes every written value distinct. */
  readonly operationId?: string;
}
