import {
  SlotPolicy,
  SlotPolicyKind,
  chooseCheapestWorker,
  chooseByTwoChoices,
  grantAllSlots,
  splitStatically,
} from '../../decisions/requests';
import {Loan, Member, PoolHost} from '../../types';
import {SlotBorrower} from '../slots';
import {SlotSharing} from './slot_sharing';

/** Options for {@link createSlotSharing}. */
export interface SlotSharingOptions {
  readonly kind: SlotPolicyKind;
  readonly memberId: string;
  readonly getHosts: (pool: string) => readonly PoolHost[];
  readonly getMembers: () => readonly Member[];
  readonly borrower: SlotBorrower;
}

/** Creates the slot sharing strategy for a slot policy. */
export function createSlotSharing(options: SlotSharingOptions): SlotSharing {
  const {kind, borrower} = options;
  const getSplit = memoizePolicy(splitStatically, options);
  const getGuaranteedSlots = (pool: string) => countSlots(getSplit(pool));
  switch (kind) {
    case SlotPolicyKind.Lending:
      return {
        getLoans: pool => borrower.getLoans(pool) ?? getSplit(pool),
        getGuaranteedSlots,
        requestSlots: borrower.reportSoon,
        chooseWorker: chooseCheapestWorker,
      };
    case SlotPolicyKind.StaticSplit:
      return {
        getLoans: getSplit,
        getGuaranteedSlots,
        requestSlots: () => {},
        chooseWorker: chooseCheapestWorker,
      };
    case SlotPolicyKind.TwoChoices:
      return {
        getLoans: memoizePolicy(grantAllSlots, options),
        getGuaranteedSlots,
        requestSlots: () => {},
        chooseWorker: chooseByTwoChoices,
      };
  }
}

interface CachedLoans {
  readonly hosts: readonly PoolHost[];
  readonly members: readonly Member[];
  readonly loans: readonly Loan[];
}

/** Memoizes a policy per pool until the pool's hosts or the members change. */
function memoizePolicy(
  policy: SlotPolicy,
  {getHosts, getMembers, memberId}: SlotSharingOptions,
): (pool: string) => readonly Loan[] {
  const cache = new Map<string, CachedLoans>();

  return pool => {
    const hosts = getHosts(pool);
    const members = getMembers();
    const entry = cache.get(pool);
    if (entry?.hosts === hosts && entry.members === members) return entry.loans;
    const memberIds = members.map(member => member.id);
    const loans = policy({hosts, memberIds, memberId});
    cache.set(pool, {hosts, members, loans});
    return loans;
  };
}

function countSlots(loans: readonly Loan[]): number {
  return loans.reduce((sum, loan) => sum + loan.slots, 0);
}
