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

/** One thing in a history that must not be. */
export interface HistoryFinding {
  readonly fault: HistoryFault;
  readonly at: number;
  /** Key or host that it is about. */
  readonly subject: string;
  readonly message: string;
}

/** Time for which a replaced budget may still be used, in ms. */
const BUDGET_GRACE_MS = 5_000;

interface Budget {
  readonly pool: string;
  readonly hosts: number;
  readonly from: number;
  until: number;
}

/**
 * Checks a history of the fleet's keys and reboots.
 *
 * @param events every write in the order of the store, with the ordered reboots
 * @returns everything that must not be; empty if the history is sound
 */
export function checkFleetHistory(
  events: readonly HistoryEvent[],
): readonly HistoryFinding[] {
  const findings: HistoryFinding[] = [];
  const records = new Map<string, PoolRecord>();
  const assignments = new Map<string, HostAssignment>();
  const budgets: Budget[] = [];
  let at = 0;

  function find(fault: HistoryFault, subject: string, message: string): void {
    findings.push({fault, at, subject, message});
  }

  function noteConfiguration(configuration: Configuration): void {
    for (const budget of budgets) budget.until = Math.min(budget.until, at);
    for (const {pool, maxUnavailable} of configuration.profiles) {
      budgets.push({pool, hosts: maxUnavailable, from: at, until: Infinity});
    }
  }

  function noteAssignment(key: string, next?: HostAssignment): void {
    const hostId = key.slice('hosts/'.length);
    const known = assignments.get(hostId);
    if (next) assignments.set(hostId, next);
    else assignments.delete(hostId);
    if (!known || !next || known.pool === next.pool) return;
    const entry = findEntry(records.get(known.pool), hostId);
    if (entry?.state === HostState.Moving && entry.movesTo === next.pool) {
      return;
    }
    const message = `went from ${known.pool} to ${next.pool} unannounced`;
    find(HistoryFault.UnannouncedMove, hostId, message);
  }

  function noteRecord(next: PoolRecord): void {
    const known = records.get(next.pool);
    records.set(next.pool, next);
    checkTerm(known, next);
    checkBudget(known, next);
    for (const entry of next.unavailable) checkEntry(known, next, entry);
    for (const entry of known?.unavailable ?? []) checkEnd(next, entry);
  }

  function checkTerm(known: PoolRecord | undefined, next: PoolRecord): void {
    if (!known) return;
    if (next.term === known.term && next.leader === known.leader) return;
    const message = `${known.leader}@${known.term} to ${next.leader}@${next.term}`;
    if (next.term <= known.term) {
      find(HistoryFault.TermBroken, next.pool, message);
    }
  }

  function checkBudget(known: PoolRecord | undefined, next: PoolRecord): void {
    const added = next.unavailable.filter(
      entry => isLeaderDecision(entry) && !findEntry(known, entry.hostId),
    );
    if (added.length === 0) return;
    const budget = next.budget ?? 0;
    if (next.unavailable.length > budget) {
      const message = `${next.unavailable.length} unavailable of ${budget}`;
      find(HistoryFault.BudgetExceeded, next.pool, message);
    }
    const decidedAt = Math.max(...added.map(entry => entry.since));
    if (budgets.length === 0 || wasInForce(next.pool, budget, decidedAt)) {
      return;
    }
    const message = `budget ${budget} was not in force`;
    find(HistoryFault.UnknownBudget, next.pool, message);
  }

  /** A write may land after its budget was replaced; the decision must not come after. */
  function wasInForce(pool: string, hosts: number, decidedAt: number): boolean {
    return budgets.some(
      budget =>
        budget.pool === pool &&
        budget.hosts === hosts &&
        budget.from <= decidedAt &&
        decidedAt <= budget.until + BUDGET_GRACE_MS,
    );
  }

  function checkEntry(
    known: PoolRecord | undefined,
    next: PoolRecord,
    entry: Unavailability,
  ): void {
    const {hostId, state} = entry;
    const before = findEntry(known, hostId)?.state ?? HostState.Active;
    if (before === state) return;
    if (!HOST_TRANSITIONS[before].includes(state)) {
      const message = `${before} became ${state}`;
      find(HistoryFault.IllegalTransition, hostId, message);
    }
    const pool = assignments.get(hostId)?.pool;
    if (!isLeaderDecision(entry) || pool === next.pool) return;
    const message = `${next.pool} made it ${state}, but it is in ${pool}`;
    find(HistoryFault.TwoPools, hostId, message);
  }

  function checkEnd(next: PoolRecord, entry: Unavailability): void {
    const {hostId, state} = entry;
    if (findEntry(next, hostId)) return;
    const assignment = assignments.get(hostId);
    if (assignment?.pool !== next.pool) return;
    if (!HOST_TRANSITIONS[state].includes(HostState.Active)) {
      const message = `${state} returned to service`;
      find(HistoryFault.IllegalTransition, hostId, message);
    }
    if (state !== HostState.Rebooting) return;
    if (assignment.lastMaintainedAt >= (entry.rebootAt ?? 0)) return;
    const message = 'returned before its maintenance was recorded';
    find(HistoryFault.IllegalTransition, hostId, message);
  }

  function noteReboot(hostId: string): void {
    const pool = assignments.get(hostId)?.pool ?? '';
    const entry = findEntry(records.get(pool), hostId);
    if (entry?.rebootAt !== undefined) return;
    const message = `rebooted while ${entry?.state ?? HostState.Active}`;
    find(HistoryFault.UnplannedReboot, hostId, message);
  }

  function noteWrite({key, value}: HistoryWrite): void {
    if (key.startsWith('hosts/')) return noteAssignment(key, parse(value));
    if (value === undefined) return;
    if (key.startsWith('pools/')) return noteRecord(JSON.parse(value));
    if (key === 'config/current') noteConfiguration(JSON.parse(value));
  }

  for (const event of events) {
    at = event.at;
    if (event.kind === HistoryEventKind.Write) noteWrite(event);
    else noteReboot(event.hostId);
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
