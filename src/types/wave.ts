import {Selector} from './selector';
import {WaveState} from './wave_state';

/** A declared maintenance wave, stored at waves/ID; times are in ms since the epoch. */
export interface Wave {
  readonly id: string;
  readonly selector: Selector;
  readonly reason: string;
  readonly urgent: boolean;
  readonly declaredAt: number;
  readonly dueAt: number;
  readonly state: WaveState;
  /** Why the wave is in its state, for operators. */
  readonly cause: string;
  /** Hosts that the wave covers, fixed when it is declared. */
  readonly hostIds: readonly string[];
  /** Hosts whose failure to return an operator accepted by resuming the wave. */
  readonly acceptedLosses?: readonly string[];
  /** Time at which the wave was done or cancelled. */
  readonly endedAt?: number;
  /** Identifies the write, so that no two writes are alike. */
  readonly operationId?: string;
}
