import fc from 'fast-check';
import {
  HistoryEventKind,
  HistoryFinding,
  checkFleetHistory,
} from '../../src/history/fleet';
import {HostAssignment, HostState, PoolRecord} from '../../src/types';
import {Tick, createFleetModel} from './fleet_model';
import {generateInterleaving} from './model_step';

/** Results of a number of interleavings. */
export interface InterleavingReport {
  readonly runs: number;
  readonly findings: readonly HistoryFinding[];
  /** Number of ledger entries written, by host state. */
  readonly states: Readonly<Record<string, number>>;
  readonly moves: number;
  readonly reboots: number;
}

/**
 * Runs random interleavings of the fleet model and checks their histories.
 *
 * @param runs number of interleavings
 * @param length number of steps in each interleaving
 * @param seed seed of the random generator; the same seed gives the same steps
 * @param tick advances the paused clock
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
  for (const steps of fc.sample(generateInterleaving(length), {
    numRuns: runs,
    seed,
  })) {
    const model = createFleetModel(tick);
    for (const step of steps) await model.execute(step);
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

/**
 * Host states that the interleavings must reach for the check to be meaningful.
 */
export const REQUIRED_STATES: readonly HostState[] = [
  HostState.Draining,
  HostState.Rebooting,
  HostState.Failed,
  HostState.Missing,
  HostState.Leaving,
  HostState.Quarantined,
  HostState.Moving,
];
