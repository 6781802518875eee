import fc from 'fast-check';
import {
  HistoryEventKind,
  HistoryFinding,
  checkFleetHistory,
} from '../../src/history/fleet';
import {HostAssignment, HostState, PoolRecord} from '../../src/types';
import {Tick, createFleetModel} from './fleet_model';
import {interleavings} from './model_step';

/** What a number of interleavings came to. */
export interface InterleavingReport {
  readonly runs: number;
  readonly findings: readonly HistoryFinding[];
  /** Ledger entries seen per state. */
  readonly states: Readonly<Record<string, number>>;
  readonly moves: number;
  readonly reboots: number;
}

/**
 * Runs seeded interleavings of the fleet model and checks each history.
 *
 * @param runs number of interleavings
 * @param length steps of each
 * @param seed makes the interleavings repeatable
 * @param tick moves the paused clock
 */
export async function runInterleavings(
  runs: number,
  length: number,
  seed: number,
  tick: Tick,
): Promise<InterleavingReport> {
  const findings: HistoryFinding[] = [];
  const states: Record<string, number> = {};
  let moves = 0;
  let reboots = 0;
  for (const steps of fc.sample(interleavings(length), {
    numRuns: runs,
    seed,
  })) {
    const model = createFleetModel(tick);
    for (const step of steps) await model.take(step);
    model.dispose();
    findings.push(...checkFleetHistory(model.events));
    for (const event of model.events) {
      if (event.kind === HistoryEventKind.Reboot) reboots += 1;
      else if (event.value !== undefined) count(event.key, event.value);
    }
  }

  function count(key: string, value: string): void {
    if (key.startsWith('hosts/')) {
      const {movedFrom} = JSON.parse(value) as HostAssignment;
      if (movedFrom !== undefined) moves += 1;
    }
    if (!key.startsWith('pools/')) return;
    for (const {state} of (JSON.parse(value) as PoolRecord).unavailable) {
      states[state] = (states[state] ?? 0) + 1;
    }
  }

  return {runs, findings, states, moves, reboots};
}

/** States that the interleavings must have reached to prove anything. */
export const NEEDED_STATES: readonly HostState[] = [
  HostState.Draining,
  HostState.Rebooting,
  HostState.Failed,
  HostState.Missing,
  HostState.Leaving,
  HostState.Quarantined,
  HostState.Moving,
];
