import {randomUUID} from 'node:crypto';
import {Peers} from '../../ports';
import {
  DemandReport,
  LoanReply,
  PoolDemand,
  PoolLoan,
  borrowMethod,
} from '../../protocol';
import {LeaderRecord, Loan, Member} from '../../types';
import {createTicker} from '../shared';
import {HeldLoan} from './held_loan';
import {SlotUsage} from './slot_usage';

/** The loans of slots that an entry host holds. */
export interface SlotBorrower {
  /** Returns a pool's loans; undefined if none is in force. */
  getLoans(pool: string): readonly Loan[] | undefined;
  /** Asks for more at once, if asking may help. */
  hurry(pool: string): void;
  dispose(): void;
}

/** Where the borrower gets what it needs. */
export interface SlotBorrowerOptions {
  readonly self: Member;
  readonly peers: Peers;
  readonly getMembers: () => readonly Member[];
  readonly getLeaders: () => ReadonlyMap<string, LeaderRecord>;
  /** Answers a report to this member itself. */
  readonly lend: (report: DemandReport) => LoanReply;
  /** Names of the pools in use. */
  readonly getPools: () => readonly string[];
  readonly takeUsage: (pool: string) => SlotUsage;
  /** Slots that this member uses without a loan. */
  readonly getSplit: (pool: string) => readonly Loan[];
  /** Told when a pool's loans have changed. */
  readonly onChange: (pool: string) => void;
}

const REPORT_MS = 100;
/** Time between reports about a pool that nobody asks for. */
const IDLE_REPORT_MS = 800;
/** Least time between two reports to a leader. */
const HURRY_MS = 10;
const CALL_TIMEOUT_MS = 300;

/** Starts reporting demand to the leaders of all pools. */
export function createSlotBorrower(options: SlotBorrowerOptions): SlotBorrower {
  const {self, peers, getMembers, getLeaders} = options;
  const session = randomUUID();
  const held = new Map<string, HeldLoan>();
  /** Leaders that a report is under way to. */
  const asking = new Set<string>();
  const askedAt = new Map<string, number>();
  const hurried = new Set<string>();
  /** Pools whose last report stated a demand. */
  const active = new Set<string>();
  let sequence = 0;
  let hurryTimer: NodeJS.Timeout | undefined;
  let disposed = false;

  function getLoans(pool: string): readonly Loan[] | undefined {
    const loan = held.get(pool);
    return loan && performance.now() < loan.endsAt ? loan.loans : undefined;
  }

  function report(pools: readonly string[]): void {
    for (const [leaderId, led] of groupByLeader(pools)) {
      if (!asking.has(leaderId)) void ask(leaderId, led);
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

  async function ask(
    leaderId: string,
    pools: readonly string[],
  ): Promise<void> {
    const startedAt = performance.now();
    asking.add(leaderId);
    for (const pool of pools) askedAt.set(pool, startedAt);
    sequence += 1;
    const reply = await send(leaderId, {
      memberId: self.id,
      session,
      sequence,
      pools: pools.map(describe),
    });
    asking.delete(leaderId);
    if (disposed || !reply) return;
    for (const loan of reply.pools) {
      const leads = getLeaders().get(loan.pool)?.memberId === leaderId;
      if (leads) accept(loan, startedAt);
    }
  }

  async function send(
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

  /** States the slots that this member limits itself to until it is lent more. */
  function describe(pool: string): PoolDemand {
    const {demand, need, used} = options.takeUsage(pool);
    if (demand > 0) active.add(pool);
    else active.delete(pool);
    const loans = getLoans(pool) ?? options.getSplit(pool);
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
    const since = now - (askedAt.get(pool) ?? Number.NEGATIVE_INFINITY);
    if (since >= IDLE_REPORT_MS - REPORT_MS / 2) return true;
    return hurried.has(pool) || isUsed(pool);
  }

  function isUsed(pool: string): boolean {
    const loan = held.get(pool);
    return loan === undefined || loan.contended || active.has(pool);
  }

  function flushHurried(): void {
    hurryTimer = undefined;
    const flushedAt = performance.now();
    const pools = [...hurried];
    hurried.clear();
    report(pools);
    for (const pool of pools) {
      if ((askedAt.get(pool) ?? 0) < flushedAt) hurry(pool);
    }
  }

  function hurry(pool: string): void {
    if (held.get(pool)?.contended || !getLeaders().has(pool)) return;
    hurried.add(pool);
    hurryTimer ??= setTimeout(flushHurried, HURRY_MS);
  }

  const ticker = createTicker(REPORT_MS, tick);

  return {
    getLoans,
    hurry,
    dispose() {
      disposed = true;
      ticker.dispose();
      clearTimeout(hurryTimer);
    },
  };
}
