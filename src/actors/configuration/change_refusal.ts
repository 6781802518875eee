import {
  Configuration,
  FieldDifference,
  Finding,
  RefusalReason,
} from '../../types';

/** Why a change was not accepted. */
export interface ChangeRefusal {
  readonly reason: RefusalReason;
  readonly findings: readonly Finding[];
  /** The configuration in force, for a conflict. */
  readonly current?: Configuration;
  /** What separates the asked profiles from those in force, for a conflict. */
  readonly differences?: readonly FieldDifference[];
}
