import {Member} from './member';

/** A member as its record in the store shows it. */
export interface MemberRecord extends Member {
  /** Unique id of this run of the member's process. */
  readonly incarnation: string;
}
