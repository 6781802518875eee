import {Acceptance} from './acceptance';
import {Profile} from './profile';

/**
 * One accepted revision of the operators' configuration, stored at
 * config/current.
 */
export interface Configuration {
  readonly revision: number;
  /**
   * Identifies the change, so that a lost answer can be resolved by reading
   * back.
   */
  readonly operationId: string;
  readonly author: string;
  /** Wall-clock time of acceptance in ms since the epoch. */
  readonly acceptedAt: number;
  readonly profiles: readonly Profile[];
  /** The most recent acceptances up to and including this one, oldest first. */
  readonly recent?: readonly Acceptance[];
}
