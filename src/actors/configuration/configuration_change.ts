import {Profile} from '../../types';

/** A configuration change requested by an operator. */
export interface ConfigurationChange {
  /** Revision on which the change is based; 0 for the first configuration. */
  readonly baseRevision: number;
  /**
   * Chosen by the operator's client; identifies repeated requests of the same
   * change.
   */
  readonly operationId: string;
  readonly author: string;
  /** The complete set of profiles after the change. */
  readonly profiles: readonly Profile[];
}
