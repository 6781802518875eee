import {Profile} from '../../types';

/** A change of the configuration that an operator asks for. */
export interface ConfigurationChange {
  /** Revision that the change was made against; 0 for the first one. */
  readonly baseRevision: number;
  /** Chosen by the operator's client, so that a repeated change is the same one. */
  readonly operationId: string;
  readonly author: string;
  readonly profiles: readonly Profile[];
}
