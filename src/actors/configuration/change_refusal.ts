import {
  Configuration,
  FieldDifference,
  Finding,
  RefusalReason,
} from '../../types';

/** The reason for which a configuration change was refused. */
export interface ChangeRefusal {
  readonly reason: RefusalReason;
  /** Validation errors, for a bad request. */
  readonly findings: readonly Finding[];
  /** The active configuration, unless the request was invalid. */
  readonly current?: Configuration;
  /**
   * Differences between the active and the requested profiles, for a conflict.
   */
  readonly differences?: readonly FieldDifference[];
}
