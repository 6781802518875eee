import {Finding, RefusalReason} from '../../types';

/** Why an operation on a job was refused. */
export interface JobRefusal {
  readonly reason: RefusalReason;
  /** All validation errors of a submission. */
  readonly findings?: readonly Finding[];
}
