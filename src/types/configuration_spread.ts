import {MemberVerdict} from './member_verdict';

/**
 * Active configuration revision of each member, as last reported to one member.
 */
export interface ConfigurationSpread {
  /** Active revision at the answering member. */
  readonly revision: number;
  readonly members: readonly {
    readonly memberId: string;
    readonly revision: number;
    readonly verdict: MemberVerdict;
  }[];
}
