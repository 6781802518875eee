import {Finding, RefusalReason} from '../../types';

/** Why a call about a job was refused. */
export interface JobRefusal {
  readonly reason: RefusalReason;
  /** Everything that is wrong with a submission. */
  readonly findings?: readonly Finding[];
}
