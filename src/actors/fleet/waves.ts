import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {selectHosts} from '../../decisions/fleet';
import {Store} from '../../ports';
import {WriteOutcome, write} from '../../state';
import {RefusalReason, Selector, Wave, WaveState} from '../../types';
import {FleetView} from './fleet_view';

/** What an operator declares. */
export interface WaveDeclaration {
  readonly selector: Selector;
  readonly reason: string;
  readonly urgent: boolean;
  /** Wall-clock time in ms since the epoch. */
  readonly dueAt: number;
}

/** Operators' calls about maintenance waves. */
export interface Waves {
  declare(declaration: WaveDeclaration): Promise<Result<Wave, RefusalReason>>;
  cancel(id: string): Promise<Result<Wave, RefusalReason>>;
  list(): readonly Wave[];
}

/**
 * Creates the operators' calls about waves.
 *
 * @param store the key-value service
 * @param view the fleet as this member knows it
 */
export function createWaves(store: Store, view: FleetView): Waves {
  async function save(
    wave: Wave,
    version: number,
  ): Promise<Result<Wave, RefusalReason>> {
    const key = `waves/${wave.id}`;
    const written = await write(store, {
      key,
      expectedVersion: version,
      value: JSON.stringify(wave),
    });
    switch (written.outcome) {
      case WriteOutcome.Written:
        view.waves.accept(key, written.version, wave);
        return Result.ok(wave);
      case WriteOutcome.Conflict:
        return Result.err(RefusalReason.Conflict);
      case WriteOutcome.Unavailable:
        return Result.err(RefusalReason.StoreUnavailable);
      case WriteOutcome.Unknown:
        return Result.err(RefusalReason.OutcomeUnknown);
    }
  }

  return {
    async declare({selector, reason, urgent, dueAt}) {
      const hosts = view.hosts.get() ?? [];
      const hostIds = selectHosts(selector, hosts, view.getAssignments());
      if (hostIds.length === 0) return Result.err(RefusalReason.NotFound);
      return save(
        {
          id: `wave-${randomUUID().slice(0, 8)}`,
          selector,
          reason,
          urgent,
          declaredAt: Date.now(),
          dueAt,
          state: WaveState.Active,
          cause: 'declared',
          hostIds,
        },
        0,
      );
    },
    async cancel(id) {
      const known = view.waves.entries.get().get(`waves/${id}`);
      if (!known) return Result.err(RefusalReason.NotFound);
      return save(
        {...known.value, state: WaveState.Cancelled, cause: 'cancelled'},
        known.version,
      );
    },
    list: () => [...view.waves.entries.get().values()].map(e => e.value),
  };
}
