import {DemandReport, LoanReply, PoolLoan} from '../../protocol';
import {LeaderRecord, PoolHost} from '../../types';
import {LOAN_MS} from './loan_terms';
import {PoolSlots, createPoolSlots} from './pool_slots';

/** The ledgers of the pools that this member leads, and their answers to borrowers. */
export interface SlotLenders {
  /** Starts the ledger of a pool under a new term. */
  open(
    pool: string,
    term: number,
    getHosts: () => readonly PoolHost[],
  ): PoolSlots;
  /** Answers a borrower's report for the pools that this member may lend. */
  lend(report: DemandReport): LoanReply;
  dispose(): void;
}

/** Where the lenders get what they need. */
export interface SlotLendersOptions {
  readonly memberId: string;
  readonly getMemberIds: () => readonly string[];
  readonly getLeaders: () => ReadonlyMap<string, LeaderRecord>;
  /** True while this member's lease certainly holds. */
  readonly isLeased: () => boolean;
}

/**
 * Creates the ledgers of a member.
 *
 * A ledger outlives the lease of its leader while the store is away: the
 * leader lends on as long as every member that it knows reports to it, since
 * no member can then have seen a later leader.
 */
export function createSlotLenders(options: SlotLendersOptions): SlotLenders {
  const {memberId, getMemberIds, getLeaders, isLeased} = options;
  const ledgers = new Map<string, PoolSlots>();
  /** Monotonic time of each member's last report by pool, in ms. */
  const reportedAt = new Map<string, Map<string, number>>();

  function mayLend(pool: string): boolean {
    if (getLeaders().get(pool)?.memberId !== memberId) return false;
    if (isLeased()) return true;
    const earliest = performance.now() - LOAN_MS;
    const reports = reportedAt.get(pool);
    return getMemberIds().every(id => (reports?.get(id) ?? 0) > earliest);
  }

  function recordReport(pool: string, borrowerId: string): void {
    const reports = reportedAt.get(pool) ?? new Map<string, number>();
    reportedAt.set(pool, reports.set(borrowerId, performance.now()));
  }

  function lendPool(
    report: DemandReport,
    demand: DemandReport['pools'][number],
  ): PoolLoan | undefined {
    const slots = ledgers.get(demand.pool);
    recordReport(demand.pool, report.memberId);
    if (!slots || !mayLend(demand.pool)) return undefined;
    return slots.lend(report, demand);
  }

  return {
    open(pool, term, getHosts) {
      ledgers.get(pool)?.dispose();
      const slots = createPoolSlots(getHosts, {pool, term, getMemberIds});
      ledgers.set(pool, slots);
      return slots;
    },
    lend(report) {
      const loans = report.pools.map(demand => lendPool(report, demand));
      return {pools: loans.filter(loan => loan !== undefined)};
    },
    dispose() {
      for (const slots of ledgers.values()) slots.dispose();
      ledgers.clear();
      reportedAt.clear();
    },
  };
}
