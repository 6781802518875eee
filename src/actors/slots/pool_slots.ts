import {
  LendableHost,
  adjustLoan,
  limitGrowth,
  shareByNeed,
} from '../../decisions/slots';
import {splitStatically} from '../../decisions/requests';
import {PoolDemand, PoolLoan} from '../../protocol';
import {HostState, PoolHost} from '../../types';
import {BorrowerRecord} from './borrower_record';
import {LOAN_MARGIN_MS, LOAN_MS, TAKEOVER_WAIT_MS} from './loan_terms';

/** A shortage of slots for interactive requests in a pool. */
export interface Shortage {
  /** Number of slots demanded beyond those that can be lent. */
  readonly slots: number;
  /** Duration of the shortage in ms. */
  readonly durationMs: number;
}

/** The sender of a demand report and the number of the report. */
export interface Borrower {
  readonly memberId: string;
  readonly session: string;
  readonly sequence: number;
}

/**
 * Ledger of a pool's slots on its leader, shared by interactive requests and
 * long-running jobs.
 */
export interface PoolSlots {
  /**
   * Returns the number of a host's slots that are neither lent nor reserved.
   */
  getFreeSlots(hostId: string): number;
  /** Reserves free slots for a job; returns false if the host has too few. */
  reserve(jobId: string, hostId: string, slots: number): boolean;
  /**
   * Records the slots of a job that was already running before this leader took
   * over.
   */
  adopt(jobId: string, hostId: string, slots: number): void;
  /** Releases the slots of a job. */
  release(jobId: string): void;
  /**
   * Returns the shortage of slots for interactive requests, for which jobs are
   * preempted.
   */
  getShortage(): Shortage;
  /**
   * Returns a loan in answer to a borrower's report; undefined if a later
   * report was already answered.
   */
  lend(borrower: Borrower, demand: PoolDemand): PoolLoan | undefined;
  dispose(): void;
}

/** Options of a ledger that lends slots. */
export interface LendingOptions {
  readonly pool: string;
  readonly term: number;
  /**
   * Returns the ids of the members that may use the pool's slots, in a fixed
   * order.
   */
  readonly getMemberIds: () => readonly string[];
}

interface Reservation {
  readonly hostId: string;
  readonly slots: number;
}

/**
 * Minimum number of slots lent beyond the demand, so that a single request
 * needn't wait for a report.
 */
const MIN_HEADROOM_SLOTS = 2;
/**
 * Fraction of its fair share that an idle borrower holds while no job waits for
 * slots.
 *
 * A leader that has just taken over lends no additional slots for
 * TAKEOVER_WAIT_MS; until then an entry host is limited to what it holds.
 */
const HEADROOM_FRACTION = 0.5;
/**
 * Time after a refused job reservation during which idle borrowers get no
 * headroom.
 */
const REFUSED_RESERVATION_WINDOW_MS = 1_000;
/**
 * Time after the end of its loan for which the requests of a silent borrower
 * are assumed to be running.
 */
const SILENT_BORROWER_GRACE_MS = 2_000;

const NO_LENDING: LendingOptions = {
  pool: '',
  term: 0,
  getMemberIds: () => [],
};

/**
 * Creates the slot ledger of a pool.
 *
 * @param getHosts returns the pool's current hosts
 * @param options the pool, term and borrowers; by default nothing is lent
 */
export function createPoolSlots(
  getHosts: () => readonly PoolHost[],
  options: LendingOptions = NO_LENDING,
): PoolSlots {
  const {pool, term, getMemberIds} = options;
  const reservations = new Map<string, Reservation>();
  const borrowers = new Map<string, BorrowerRecord>();
  const startedAt = performance.now();
  let reservationRefusedAt = Number.NEGATIVE_INFINITY;
  let shortageSince: number | undefined;

  /**
   * Returns the slots of each host that are reserved, lent or possibly in use,
   * leaving out one session.
   */
  function countTaken(except?: string): Map<string, number> {
    const taken = new Map<string, number>();
    const now = performance.now();
    for (const {hostId, slots} of reservations.values()) {
      addSlots(taken, hostId, slots);
    }
    for (const [session, record] of borrowers) {
      if (session === except) continue;
      for (const [hostId, slots] of getOutstandingSlots(record, now)) {
        addSlots(taken, hostId, slots);
      }
    }
    for (const memberId of listSilentMembers(now)) addSplit(taken, memberId);
    return taken;
  }

  /**
   * Returns the known members without a current loan, which may be using the
   * static split.
   */
  function listSilentMembers(now: number): readonly string[] {
    const reporting = new Set<string>();
    for (const record of borrowers.values()) {
      if (now < record.endsAt) reporting.add(record.memberId);
    }
    return getMemberIds().filter(id => !reporting.has(id));
  }

  function addSplit(taken: Map<string, number>, memberId: string): void {
    const memberIds = getMemberIds();
    const split = splitStatically({hosts: getHosts(), memberIds, memberId});
    for (const {hostId, slots} of split) addSlots(taken, hostId, slots);
  }

  function countReserved(hostId: string): number {
    let sum = 0;
    for (const known of reservations.values()) {
      if (known.hostId === hostId) sum += known.slots;
    }
    return sum;
  }

  function countFree(hostId: string): number {
    const known = getHosts().find(({host}) => host.id === hostId);
    return (known?.host.slots ?? 0) - (countTaken().get(hostId) ?? 0);
  }

  /**
   * Returns the slots that a borrower may hold now: its share, limited to what
   * it holds and its part of the free slots.
   */
  function findTarget(
    session: string,
    capacity: number,
    hosts: readonly LendableHost[],
  ): number {
    const now = performance.now();
    const live = [...borrowers].filter(([, record]) => now < record.endsAt);
    const needs = live.map(([, {demand, need}]) => ({peak: demand, need}));
    const headroom = findHeadroom(capacity / live.length);
    const shares = shareByNeed(capacity, needs, headroom);
    const deficits = live.map(([, record], i) =>
      Math.max(0, shares[i] - countSlots(record.held)),
    );
    const index = live.findIndex(([known]) => known === session);
    const free = hosts.reduce((sum, host) => sum + host.free, 0);
    const held = hosts.reduce((sum, host) => sum + host.held, 0);
    return Math.min(shares[index], held + limitGrowth(free, deficits, index));
  }

  function findHeadroom(fairShare: number): number {
    const sinceMs = performance.now() - reservationRefusedAt;
    if (sinceMs < REFUSED_RESERVATION_WINDOW_MS) return 0;
    return Math.max(
      MIN_HEADROOM_SLOTS,
      Math.floor(fairShare * HEADROOM_FRACTION),
    );
  }

  function listLendableHosts(
    session: string,
    held: ReadonlyMap<string, number>,
    used: ReadonlyMap<string, number>,
  ): readonly LendableHost[] {
    const taken = countTaken(session);
    const takingOver = performance.now() - startedAt < TAKEOVER_WAIT_MS;
    const active = getHosts().filter(h => h.state === HostState.Active);
    return active.map(({host}) => {
      const limit = Math.max(0, host.slots - (taken.get(host.id) ?? 0));
      const kept = Math.min(held.get(host.id) ?? 0, limit);
      return {
        hostId: host.id,
        held: kept,
        used: used.get(host.id) ?? 0,
        free: takingOver ? 0 : limit - kept,
      };
    });
  }

  function lend(borrower: Borrower, demand: PoolDemand): PoolLoan | undefined {
    const {memberId, session, sequence} = borrower;
    const known = borrowers.get(session);
    if (known && known.sequence >= sequence) return undefined;
    const now = performance.now();
    const held = new Map(demand.hosts.map(h => [h.hostId, h.held]));
    const used = new Map(demand.hosts.map(h => [h.hostId, h.used]));
    const record: BorrowerRecord = {
      memberId,
      sequence,
      demand: demand.demand,
      need: demand.need,
      held,
      used,
      endsAt: now + LOAN_MS + LOAN_MARGIN_MS,
    };
    borrowers.set(session, record);
    removeExpired(now);
    const hosts = listLendableHosts(session, held, used);
    const capacity = countLendable();
    const granted = adjustLoan(findTarget(session, capacity, hosts), hosts);
    borrowers.set(session, {...record, held: mergeMaxima(held, granted)});
    updateShortage(capacity);
    const total = [...granted.values()].reduce((sum, n) => sum + n, 0);
    return {
      pool,
      term,
      lengthMs: LOAN_MS,
      contended: total < demand.demand,
      hosts: [...granted]
        .filter(([, slots]) => slots > 0)
        .map(([hostId, slots]) => ({hostId, slots})),
    };
  }

  /** Returns the total number of slots that the borrowers share. */
  function countLendable(): number {
    const silent = new Map<string, number>();
    for (const id of listSilentMembers(performance.now())) addSplit(silent, id);
    let sum = 0;
    for (const {host, state} of getHosts()) {
      if (state !== HostState.Active) continue;
      const kept = countReserved(host.id) + (silent.get(host.id) ?? 0);
      sum += Math.max(0, host.slots - kept);
    }
    return sum;
  }

  function removeExpired(now: number): void {
    for (const [session, record] of borrowers) {
      if (now >= record.endsAt + SILENT_BORROWER_GRACE_MS)
        borrowers.delete(session);
    }
  }

  function countShortage(capacity: number): number {
    const now = performance.now();
    let wanted = 0;
    for (const record of borrowers.values()) {
      if (now < record.endsAt) wanted += record.demand;
    }
    return Math.max(0, wanted - capacity);
  }

  function updateShortage(capacity: number): void {
    if (countShortage(capacity) === 0) shortageSince = undefined;
    else shortageSince ??= performance.now();
  }

  return {
    getFreeSlots: countFree,
    reserve(jobId, hostId, slots) {
      if (countFree(hostId) < slots) {
        reservationRefusedAt = performance.now();
        return false;
      }
      reservations.set(jobId, {hostId, slots});
      return true;
    },
    adopt: (jobId, hostId, slots) =>
      void reservations.set(jobId, {hostId, slots}),
    release: jobId => void reservations.delete(jobId),
    getShortage() {
      if (shortageSince === undefined) return {slots: 0, durationMs: 0};
      const slots = countShortage(countLendable());
      const forMs = slots > 0 ? performance.now() - shortageSince : 0;
      return {slots, durationMs: forMs};
    },
    lend,
    dispose() {
      reservations.clear();
      borrowers.clear();
    },
  };
}

function countSlots(held: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const slots of held.values()) sum += slots;
  return sum;
}

function addSlots(
  counts: Map<string, number>,
  hostId: string,
  slots: number,
): void {
  counts.set(hostId, (counts.get(hostId) ?? 0) + slots);
}

/**
 * Returns the slots of each host that a borrower, or its last requests after
 * the loan, may still use.
 */
function getOutstandingSlots(
  record: BorrowerRecord,
  now: number,
): ReadonlyMap<string, number> {
  if (now < record.endsAt) return record.held;
  return now < record.endsAt + SILENT_BORROWER_GRACE_MS
    ? record.used
    : new Map();
}

function mergeMaxima(
  a: ReadonlyMap<string, number>,
  b: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const result = new Map(a);
  for (const [hostId, slots] of b) {
    result.set(hostId, Math.max(slots, a.get(hostId) ?? 0));
  }
  return result;
}
