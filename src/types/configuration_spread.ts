import {MemberVerdict} from './member_verdict';

/** Which revision each member has in force, as one member last heard. */
export interface ConfigurationSpread {
  /** Revision in force at the answering member. */
  readonly revision: number;
  readonly members: readonly {
    readonly memberId: string;
    readonly revision: number;
    readonly verdict: MemberVerdict;
  }[];
}
