import {Member} from './member';

/** A member as recorded in the store. */
export interface MemberRecord extends Member {
  /** Unique id of this run of the member's process. */
  readonly incarnation: string;
}
