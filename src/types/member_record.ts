import {Member} from './member';

/** A member as recorded in the store. */
export interface MemberRecord extends Member {
  /** Unique id of the member's process; changes when the member restarts. */
  readonly incarnation: string;
}
