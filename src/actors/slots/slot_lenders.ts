import {DemandReport, LoanReply, PoolLoan} from '../../protocol';
import {LeaderRecord, PoolHost} from '../../types';
import {LOAN_MS} from './loan_terms';
import {PoolSlots, createPoolSlots} from './pool_slots';

/** Slot ledgers of the pools that this member leads. */
export interface SlotLenders {
  /**
   * Creates the ledger of a pool for a new term and disposes the previous one.
   */
  open(
    pool: string,
    term: number,
    getHosts: () => readonly PoolHost[],
  ): PoolSlots;
  /**
   * Answers a borrower's report with loans of the pools for which this member
   * may lend.
   */
  lend(report: DemandReport): LoanReply;
  dispose(): void;
}

/** Dependencies of the slot lenders. */
export interface SlotLendersOptions {
  readonly memberId: string;
  readonly getMemberIds: () => readonly string[];
  readonly getLeaders: () => ReadonlyMap<string, LeaderRecord>;
  /** Returns whether this member's lease is guaranteed to be valid. */
  readonly isLeased: () => boolean;
}

/**
 * Creates the slot ledgers of a member.
 *
 * A leader whose lease has expired because the store is unavailable goes on
 * lending as long as every known member reports to it, since no member can then
 * have seen a later leader.
 */
export function createSlotLenders(options: SlotLendersOptions): SlotLenders {
  const {memberId, getMemberIds, getLeaders, isLeased} = options;
  const ledgers = new Map<string, PoolSlots>();
  /**
   * Monotonic time in ms of each member's last report, by pool and member id.
   */
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
