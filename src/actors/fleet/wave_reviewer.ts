import {randomUUID} from 'node:crypto';
import {reviewWave} from '../../decisions/fleet';
import {Store} from '../../ports';
import {MirrorEntry, WriteOutcome, write} from '../../state';
import {Telemetry} from '../../telemetry';
import {DecisionKind, Wave, WaveState} from '../../types';
import {FleetView} from './fleet_view';

/**
 * Completes, pauses and deletes the maintenance waves that a pool's leader
 * owns.
 */
export interface WaveReviewer {
  review(): Promise<void>;
}

/** Dependencies of the wave reviewer. */
export interface WaveReviewerOptions {
  readonly store: Store;
  readonly view: FleetView;
  readonly telemetry: Telemetry;
  readonly pool: string;
}

/** Retention period of ended waves. */
const ENDED_WAVE_RETENTION_MS = 7 * 86_400_000;
/** Maximum number of ended waves that are kept. */
const MAX_ENDED_WAVES = 50;

/**
 * Creates the reviewer of the waves whose first assigned host is in the pool.
 */
export function createWaveReviewer(options: WaveReviewerOptions): WaveReviewer {
  const {store, view, telemetry, pool} = options;

  function isOwnedByPool(wave: Wave): boolean {
    const assignments = view.getAssignments();
    const first = wave.hostIds.find(hostId => assignments.has(hostId));
    return first === undefined || assignments.get(first)?.pool === pool;
  }

  async function reviewOne(entry: MirrorEntry<Wave>): Promise<void> {
    const next = reviewWave({
      wave: entry.value,
      assignments: view.getAssignments(),
      hasLeft: hostId => view.hasLeft(hostId, entry.value.id),
      records: [...view.records.entries.get().values()].map(e => e.value),
    });
    if (!next) return;
    const ended = next.state === WaveState.Done;
    const wave: Wave = {
      ...next,
      operationId: randomUUID(),
      endedAt: ended ? Date.now() : undefined,
    };
    const written = await write(store, {
      key: entry.key,
      expectedVersion: entry.version,
      value: JSON.stringify(wave),
    });
    if (written.outcome !== WriteOutcome.Written) return;
    view.waves.applyWrite(entry.key, written.version, wave);
    telemetry.recordDecision({
      kind: ended ? DecisionKind.Finish : DecisionKind.Hold,
      subject: wave.id,
      pool,
      cause: wave.cause,
      inputs: {hosts: wave.hostIds.length},
    });
  }

  async function prune(): Promise<void> {
    const ended = [...view.waves.entries.get().values()]
      .filter(entry => entry.value.endedAt !== undefined)
      .sort((a, b) => (b.value.endedAt ?? 0) - (a.value.endedAt ?? 0));
    const oldest = Date.now() - ENDED_WAVE_RETENTION_MS;
    const expired = ended.filter(
      ({value}, i) => i >= MAX_ENDED_WAVES || (value.endedAt ?? 0) < oldest,
    );
    for (const {key, version, value} of expired) {
      if (!isOwnedByPool(value)) continue;
      const swap = {key, expectedVersion: version, value: undefined};
      const {outcome} = await write(store, swap);
      if (outcome !== WriteOutcome.Written) continue;
      view.waves.applyWrite(key, version + 1, undefined);
    }
  }

  return {
    async review() {
      for (const entry of [...view.waves.entries.get().values()]) {
        if (entry.value.state !== WaveState.Active) continue;
        if (isOwnedByPool(entry.value)) await reviewOne(entry);
      }
      await prune();
    },
  };
}
