import {Result} from 'true-myth';
import {spendBudget} from '../../decisions/fleet';
import {WriteOutcome} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  HostState,
  Profile,
  RefusalReason,
  Unavailability,
} from '../../types';
import {Ledger, LedgerStore} from './ledger_store';

/** A request to take a host out of service. */
export interface Quarantine {
  readonly hostId: string;
  readonly cause: string;
}

/** Inputs for recording a quarantine. */
export interface QuarantineInputs {
  readonly ledger: Ledger;
  readonly ledgers: LedgerStore;
  readonly profile: Profile;
  readonly quarantine: Quarantine;
  readonly telemetry: Telemetry;
}

/**
 * Outcome of a quarantine; without a ledger the record has to be read again.
 */
export interface QuarantineOutcome {
  readonly ledger?: Ledger;
  readonly result: Result<Unavailability, RefusalReason>;
}

/**
 * Records a quarantine in a single write, unless that would exceed the budget.
 */
export async function addQuarantine(
  inputs: QuarantineInputs,
): Promise<QuarantineOutcome> {
  const {ledger, ledgers, profile, quarantine, telemetry} = inputs;
  const {hostId, cause} = quarantine;
  const known = ledger.record.unavailable.find(e => e.hostId === hostId);
  if (known?.state === HostState.Quarantined) {
    return {ledger, result: Result.ok(known)};
  }
  const entry: Unavailability = {
    hostId,
    state: HostState.Quarantined,
    since: Date.now(),
    cause,
  };
  if (known?.state === HostState.Moving) {
    return {ledger, result: Result.err(RefusalReason.Conflict)};
  }
  const others = ledger.record.unavailable.filter(e => e.hostId !== hostId);
  const entries = known
    ? [...others, entry]
    : spendBudget(others, [entry], profile.maxUnavailable);
  if (!entries) return {ledger, result: Result.err(RefusalReason.BudgetSpent)};
  const saved = await ledgers.save(ledger, entries, profile.maxUnavailable);
  if (saved.outcome === WriteOutcome.Unavailable) {
    return {ledger, result: Result.err(RefusalReason.StoreUnavailable)};
  }
  if (!saved.ledger) return {result: Result.err(RefusalReason.OutcomeUnknown)};
  telemetry.recordDecision({
    kind: DecisionKind.Quarantine,
    subject: hostId,
    pool: profile.pool,
    cause,
    inputs: {unavailable: entries.length, budget: profile.maxUnavailable},
  });
  return {ledger: saved.ledger, result: Result.ok(entry)};
}
