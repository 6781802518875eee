import {HostChange} from '../../decisions/fleet';
import {Telemetry} from '../../telemetry';
import {PoolRecord} from '../../types';

/**
 * Records the decisions that led to a stored ledger and updates its gauge.
 *
 * @param telemetry records the decisions
 * @param record the pool record as stored
 * @param changes the decided changes of host states
 * @param budget number of hosts that may be unavailable at once
 */
export function recordChanges(
  telemetry: Telemetry,
  record: PoolRecord,
  changes: readonly HostChange[],
  budget: number,
): void {
  const {pool, term, unavailable} = record;
  for (const change of changes) {
    telemetry.recordDecision({
      kind: change.kind,
      subject: change.hostId,
      pool,
      cause: change.cause,
      inputs: {
        term,
        from: change.from,
        unavailable: unavailable.length,
        budget,
        ...(change.entry?.waveId ? {wave: change.entry.waveId} : {}),
      },
    });
  }
  telemetry.setGauge(
    'unavailable_hosts',
    'Hosts that the budget counts as unavailable.',
    pool,
    unavailable.length,
  );
}
