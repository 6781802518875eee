import {isLeaderDecision} from '../../decisions/fleet';
import {
  Configuration,
  HostAssignment,
  HostState,
  PoolRecord,
  Unavailability,
} from '../../types';
import {HistoryEvent, HistoryEventKind, HistoryWrite} from './history_event';
import {HistoryFault} from './history_fault';
import {HOST_TRANSITIONS} from './host_transitions';

/** A fault found in a history. */
export interface HistoryFinding {
  readonly fault: HistoryFault;
  /** Time of the event in ms since the epoch. */
  readonly at: number;
  /** Pool or host that the fault concerns. */
  readonly subject: string;
  readonly message: string;
}

/**
 * Time after its replacement during which a budget may still be used, in ms.
 */
const BUDGET_GRACE_MS = 5_000;

/** An availability budget with the period during which it was active. */
interface Budget {
  readonly pool: string;
  readonly hosts: number;
  readonly from: number;
  until: number;
}

/**
 * Checks a history of stored fleet records and reboots.
 *
 * @param events all writes in the order of the store, interleaved with the
 *     ordered reboots
 * @returns all faults found; empty if the history is correct
 */
export function checkFleetHistory(
  events: readonly HistoryEvent[],
): readonly HistoryFinding[] {
  const findings: HistoryFinding[] = [];
  const records = new Map<string, PoolRecord>();
  const assignments = new Map<string, HostAssignment>();
  const budgets: Budget[] = [];
  let at = 0;

  function report(fault: HistoryFault, subject: string, message: string): void {
    findings.push({fault, at, subject, message});
  }

  function applyConfiguration(configuration: Configuration): void {
    for (const budget of budgets) budget.until = Math.min(budget.until, at);
    for (const {pool, maxUnavailable} of configuration.profiles) {
      budgets.push({pool, hosts: maxUnavailable, from: at, until: Infinity});
    }
  }

  function applyAssignment(key: string, next?: HostAssignment): void {
    const hostId = key.slice('hosts/'.length);
    const previous = assignments.get(hostId);
    if (next) assignments.set(hostId, next);
    else assignments.delete(hostId);
    if (!previous || !next || previous.pool === next.pool) return;
    const entry = findEntry(records.get(previous.pool), hostId);
    if (entry?.state === HostState.Moving && entry.movesTo === next.pool) {
      return;
    }
    const message = `went from ${previous.pool} to ${next.pool} without a move in the ledger`;
    report(HistoryFault.UnannouncedMove, hostId, message);
  }

  function applyRecord(next: PoolRecord): void {
    const previous = records.get(next.pool);
    records.set(next.pool, next);
    checkTerm(previous, next);
    checkBudget(previous, next);
    for (const entry of next.unavailable) checkEntry(previous, next, entry);
    for (const entry of previous?.unavailable ?? []) checkReturn(next, entry);
  }

  function checkTerm(previous: PoolRecord | undefined, next: PoolRecord): void {
    if (!previous) return;
    if (next.term === previous.term && next.leader === previous.leader) return;
    const message = `${previous.leader}@${previous.term} to ${next.leader}@${next.term}`;
    if (next.term <= previous.term) {
      report(HistoryFault.TermNotIncreased, next.pool, message);
    }
  }

  function checkBudget(
    previous: PoolRecord | undefined,
    next: PoolRecord,
  ): void {
    const added = next.unavailable.filter(
      entry => isLeaderDecision(entry) && !findEntry(previous, entry.hostId),
    );
    if (added.length === 0) return;
    const budget = next.budget ?? 0;
    if (next.unavailable.length > budget) {
      const message = `${next.unavailable.length} hosts unavailable with a budget of ${budget}`;
      report(HistoryFault.BudgetExceeded, next.pool, message);
    }
    const decidedAt = Math.max(...added.map(entry => entry.since));
    if (budgets.length === 0 || wasActive(next.pool, budget, decidedAt)) {
      return;
    }
    const message = `budget ${budget} was not active`;
    report(HistoryFault.UnknownBudget, next.pool, message);
  }

  /**
   * Returns whether a budget was active at the time of a decision or was
   * replaced within the grace period before it. The resulting write may be
   * stored even later.
   */
  function wasActive(pool: string, hosts: number, decidedAt: number): boolean {
    return budgets.some(
      budget =>
        budget.pool === pool &&
        budget.hosts === hosts &&
        budget.from <= decidedAt &&
        decidedAt <= budget.until + BUDGET_GRACE_MS,
    );
  }

  function checkEntry(
    previous: PoolRecord | undefined,
    next: PoolRecord,
    entry: Unavailability,
  ): void {
    const {hostId, state} = entry;
    const previousState =
      findEntry(previous, hostId)?.state ?? HostState.Active;
    if (previousState === state) return;
    if (!HOST_TRANSITIONS[previousState].includes(state)) {
      const message = `state changed from ${previousState} to ${state}`;
      report(HistoryFault.IllegalTransition, hostId, message);
    }
    const pool = assignments.get(hostId)?.pool;
    if (!isLeaderDecision(entry) || pool === next.pool) return;
    const message = `${next.pool} set it to ${state}, but it is assigned to ${pool}`;
    report(HistoryFault.TwoPools, hostId, message);
  }

  function checkReturn(next: PoolRecord, entry: Unavailability): void {
    const {hostId, state} = entry;
    if (findEntry(next, hostId)) return;
    const assignment = assignments.get(hostId);
    if (assignment?.pool !== next.pool) return;
    if (!HOST_TRANSITIONS[state].includes(HostState.Active)) {
      const message = `returned to service from state ${state}`;
      report(HistoryFault.IllegalTransition, hostId, message);
    }
    if (state !== HostState.Rebooting) return;
    if (assignment.lastMaintainedAt >= (entry.rebootAt ?? 0)) return;
    const message = 'returned before its maintenance was recorded';
    report(HistoryFault.IllegalTransition, hostId, message);
  }

  function checkReboot(hostId: string): void {
    const pool = assignments.get(hostId)?.pool ?? '';
    const entry = findEntry(records.get(pool), hostId);
    if (entry?.rebootAt !== undefined) return;
    const message = `rebooted without an order in state ${entry?.state ?? HostState.Active}`;
    report(HistoryFault.UnplannedReboot, hostId, message);
  }

  function applyWrite({key, value}: HistoryWrite): void {
    if (key.startsWith('hosts/')) return applyAssignment(key, parse(value));
    if (value === undefined) return;
    if (key.startsWith('pools/')) return applyRecord(JSON.parse(value));
    if (key === 'config/current') applyConfiguration(JSON.parse(value));
  }

  for (const event of events) {
    at = event.at;
    if (event.kind === HistoryEventKind.Write) applyWrite(event);
    else checkReboot(event.hostId);
  }
  return findings;
}

function findEntry(
  record: PoolRecord | undefined,
  hostId: string,
): Unavailability | undefined {
  return record?.unavailable.find(entry => entry.hostId === hostId);
}

function parse<T>(value: string | undefined): T | undefined {
  return value === undefined ? undefined : (JSON.parse(value) as T);
}
