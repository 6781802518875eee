import {MemberVerdict} from './member_verdict';

/** One member as another one sees it, with the reasons. */
export interface MemberSight {
  readonly memberId: string;
  readonly availabilityZone: string;
  readonly incarnation: string;
  /** True while the member's leased record stands in the store. */
  readonly leaseSeen: boolean;
  /** Time since the last heartbeat either way, in ms; undefined if none came. */
  readonly heardAgoMs?: number;
  /** Revision of the configuration in force there, as last heard. */
  readonly revision: number;
  /** Whether the store answered that member, as last heard. */
  readonly storeAnswers: boolean;
  readonly verdict: MemberVerdict;
  readonly cause: string;
}
