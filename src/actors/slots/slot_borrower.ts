import {randomUUID} from 'node:crypto';
import {Peers} from '../../ports';
import {
  DemandReport,
  LoanReply,
  PoolDemand,
  PoolLoan,
  borrowMethod,
} from '../../protocol';
import {runInBackground} from '../../state';
import {UnexpectedErrors} from '../../telemetry';
import {LeaderRecord, Loan, Member} from '../../types';
import {createTicker} from '../shared';
import {HeldLoan} from './held_loan';
import {SlotUsage} from './slot_usage';

/** Borrows slots from the pool leaders for an entry host. */
export interface SlotBorrower {
  /**
   * Returns the current loans of a pool's slots; undefined if there are none or
   * they have expired.
   */
  getLoans(pool: string): readonly Loan[] | undefined;
  /**
   * Sends a report for a pool ahead of schedule, unless the pool is contended
   * or has no leader.
   */
  reportSoon(pool: string): void;
  dispose(): void;
}

/** Dependencies of the slot borrower. */
export interface SlotBorrowerOptions {
  readonly self: Member;
  readonly peers: Peers;
  readonly getMembers: () => readonly Member[];
  readonly getLeaders: () => ReadonlyMap<string, LeaderRecord>;
  /** Answers reports for pools that this member leads itself. */
  readonly lend: (report: DemandReport) => LoanReply;
  /** Returns the names of the configured pools. */
  readonly getPools: () => readonly string[];
  /** Returns the usage of a pool since the previous call. */
  readonly takeUsage: (pool: string) => SlotUsage;
  /** Returns the slots that this member may use without a loan. */
  readonly getStaticSplit: (pool: string) => readonly Loan[];
  /** Called with the name of a pool whose loans have changed. */
  readonly onChange: (pool: string) => void;
  readonly errors: UnexpectedErrors;
}

/** Interval of reports about pools with demand, contention or no loan. */
const REPORT_INTERVAL_MS = 100;
/** Interval of reports about idle pools. */
const IDLE_REPORT_INTERVAL_MS = 800;
/**
 * Delay before early reports are sent, which batches pools and bounds the rate
 * of these reports.
 */
const EARLY_REPORT_DELAY_MS = 10;
const CALL_TIMEOUT_MS = 300;

/** Starts reporting demand to the leaders of all pools. */
export function createSlotBorrower(options: SlotBorrowerOptions): SlotBorrower {
  const {self, peers, getMembers, getLeaders} = options;
  const session = randomUUID();
  const held = new Map<string, HeldLoan>();
  /** Ids of the leaders with a report in flight. */
  const pendingLeaders = new Set<string>();
  const reportedAt = new Map<string, number>();
  const earlyReportPools = new Set<string>();
  /** Pools whose last report contained a demand. */
  const poolsInDemand = new Set<string>();
  let sequence = 0;
  let earlyReportTimer: NodeJS.Timeout | undefined;
  let disposed = false;

  const reportError = (error: unknown) =>
    options.errors.report('demand-report', error);

  function getLoans(pool: string): readonly Loan[] | undefined {
    const loan = held.get(pool);
    return loan && performance.now() < loan.endsAt ? loan.loans : undefined;
  }

  function report(pools: readonly string[]): void {
    for (const [leaderId, led] of groupByLeader(pools)) {
      if (pendingLeaders.has(leaderId)) continue;
      runInBackground(() => sendReport(leaderId, led), reportError);
    }
  }

  function groupByLeader(
    pools: readonly string[],
  ): ReadonlyMap<string, readonly string[]> {
    const leaders = getLeaders();
    const groups = new Map<string, string[]>();
    for (const pool of pools) {
      const leaderId = leaders.get(pool)?.memberId;
      if (leaderId === undefined) continue;
      groups.set(leaderId, [...(groups.get(leaderId) ?? []), pool]);
    }
    return groups;
  }

  async function sendReport(
    leaderId: string,
    pools: readonly string[],
  ): Promise<void> {
    const startedAt = performance.now();
    for (const pool of pools) reportedAt.set(pool, startedAt);
    sequence += 1;
    const demand: DemandReport = {
      memberId: self.id,
      session,
      sequence,
      pools: pools.map(describeDemand),
    };
    pendingLeaders.add(leaderId);
    const reply = await callLeader(leaderId, demand).finally(() =>
      pendingLeaders.delete(leaderId),
    );
    if (disposed || !reply) return;
    for (const loan of reply.pools) {
      const leads = getLeaders().get(loan.pool)?.memberId === leaderId;
      if (leads) accept(loan, startedAt);
    }
  }

  async function callLeader(
    leaderId: string,
    demand: DemandReport,
  ): Promise<LoanReply | undefined> {
    if (leaderId === self.id) return options.lend(demand);
    const leader = getMembers().find(member => member.id === leaderId);
    if (!leader) return undefined;
    const reply = await peers.call(
      leader,
      borrowMethod,
      demand,
      CALL_TIMEOUT_MS,
    );
    return reply.unwrapOr(undefined);
  }

  /**
   * Returns the demand for a pool and the slots to which this member is limited
   * until the next loan.
   */
  function describeDemand(pool: string): PoolDemand {
    const {demand, need, used} = options.takeUsage(pool);
    if (demand > 0) poolsInDemand.add(pool);
    else poolsInDemand.delete(pool);
    const loans = getLoans(pool) ?? options.getStaticSplit(pool);
    const limits = new Map(loans.map(loan => [loan.hostId, loan.slots]));
    const hostIds = new Set([...limits.keys(), ...used.keys()]);
    const hosts = [...hostIds].map(hostId => {
      const running = used.get(hostId) ?? 0;
      const limit = limits.get(hostId) ?? 0;
      return {hostId, held: Math.max(limit, running), used: running};
    });
    return {pool, demand, need, hosts: hosts.filter(host => host.held > 0)};
  }

  function accept(loan: PoolLoan, startedAt: number): void {
    const {pool, term, contended} = loan;
    if ((held.get(pool)?.term ?? 0) > term) return;
    const endsAt = startedAt + loan.lengthMs;
    const loans = loan.hosts.map(({hostId, slots}) => ({
      hostId,
      slots,
      term,
      endsAt,
    }));
    held.set(pool, {loans, term, endsAt, contended});
    options.onChange(pool);
  }

  function tick(): void {
    const now = performance.now();
    report(options.getPools().filter(pool => isDue(pool, now)));
  }

  function isDue(pool: string, now: number): boolean {
    const since = now - (reportedAt.get(pool) ?? Number.NEGATIVE_INFINITY);
    if (since >= IDLE_REPORT_INTERVAL_MS - REPORT_INTERVAL_MS / 2) return true;
    return earlyReportPools.has(pool) || needsFrequentReports(pool);
  }

  function needsFrequentReports(pool: string): boolean {
    const loan = held.get(pool);
    return loan === undefined || loan.contended || poolsInDemand.has(pool);
  }

  function sendEarlyReports(): void {
    earlyReportTimer = undefined;
    const flushedAt = performance.now();
    const pools = [...earlyReportPools];
    earlyReportPools.clear();
    report(pools);
    for (const pool of pools) {
      if ((reportedAt.get(pool) ?? 0) < flushedAt) requestEarlyReport(pool);
    }
  }

  function requestEarlyReport(pool: string): void {
    if (held.get(pool)?.contended || !getLeaders().has(pool)) return;
    earlyReportPools.add(pool);
    earlyReportTimer ??= setTimeout(
      () => runInBackground(sendEarlyReports, reportError),
      EARLY_REPORT_DELAY_MS,
    );
  }

  const ticker = createTicker({
    intervalMs: REPORT_INTERVAL_MS,
    activity: 'demand-report',
    tick: tick,
    errors: options.errors,
  });

  return {
    getLoans,
    reportSoon: requestEarlyReport,
    dispose() {
      disposed = true;
      ticker.dispose();
      clearTimeout(earlyReportTimer);
    },
  };
}
