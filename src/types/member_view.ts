import {MemberVerdict} from './member_verdict';

/**
 * Status of a member from the point of view of another member, with its
 * reasons.
 */
export interface MemberView {
  readonly memberId: string;
  readonly availabilityZone: string;
  readonly incarnation: string;
  /** Whether the member's leased record exists in the store. */
  readonly leaseSeen: boolean;
  /**
   * Time since the last heartbeat in either direction, in ms; undefined if
   * there has been none.
   */
  readonly heardAgoMs?: number;
  /** Active configuration revision of the member, as last reported. */
  readonly revision: number;
  /** Whether the store answers that member, as last reported. */
  readonly storeAnswers: boolean;
  readonly verdict: MemberVerdict;
  readonly cause: string;
}
