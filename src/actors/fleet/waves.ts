import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {
  WavePlan,
  WaveProgress,
  explainBudget,
  findProgress,
  planWave,
  selectHosts,
} from '../../decisions/fleet';
import {Store} from '../../ports';
import {WriteOutcome, write} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  DecisionKind,
  Profile,
  RefusalReason,
  Selector,
  Wave,
  WaveState,
} from '../../types';
import {FleetView} from './fleet_view';

/** An operator's request for a maintenance wave. */
export interface WaveDeclaration {
  readonly selector: Selector;
  readonly reason: string;
  readonly urgent: boolean;
  /** Time in ms since the epoch. */
  readonly dueAt: number;
}

/** A wave with its progress and the reasons for its state. */
export interface WaveExplanation {
  readonly wave: Wave;
  readonly progress: WaveProgress;
  readonly explanation: readonly string[];
}

/** Operator calls about maintenance waves. */
export interface Waves {
  /** Stores a new wave over the selected hosts. */
  declare(declaration: WaveDeclaration): Promise<Result<Wave, RefusalReason>>;
  /** Returns the plan of a wave without declaring it. */
  plan(selector: Selector): Result<WavePlan, RefusalReason>;
  cancel(id: string): Promise<Result<Wave, RefusalReason>>;
  /** Resumes a paused wave and accepts the hosts that have not returned. */
  resume(id: string): Promise<Result<Wave, RefusalReason>>;
  explain(id: string): Result<WaveExplanation, RefusalReason>;
  list(): readonly Wave[];
}

/** Dependencies of the wave calls. */
export interface WavesOptions {
  readonly store: Store;
  readonly view: FleetView;
  readonly telemetry: Telemetry;
  /** Returns the active profiles. */
  readonly getProfiles: () => readonly Profile[];
}

/** Creates the operator calls about waves. */
export function createWaves(options: WavesOptions): Waves {
  const {store, view, telemetry, getProfiles} = options;

  async function save(
    kind: DecisionKind,
    wave: Wave,
    version: number,
  ): Promise<Result<Wave, RefusalReason>> {
    const saved = await swap(wave, version);
    if (saved.isErr) return refuse(saved.error);
    telemetry.recordDecision({
      kind,
      subject: wave.id,
      pool: '',
      cause: `${wave.id} is ${wave.state}: ${wave.cause}`,
      inputs: {hosts: wave.hostIds.length, urgent: wave.urgent},
    });
    return saved;
  }

  function refuse<T>(reason: RefusalReason): Result<T, RefusalReason> {
    telemetry.countRefusal('maintenance', reason);
    return Result.err(reason);
  }

  async function swap(
    wave: Wave,
    version: number,
  ): Promise<Result<Wave, RefusalReason>> {
    const key = `waves/${wave.id}`;
    const value: Wave = {...wave, operationId: randomUUID()};
    const written = await write(store, {
      key,
      expectedVersion: version,
      value: JSON.stringify(value),
    });
    switch (written.outcome) {
      case WriteOutcome.Written:
        view.waves.applyWrite(key, written.version, value);
        return Result.ok(value);
      case WriteOutcome.Conflict:
        return Result.err(RefusalReason.Conflict);
      case WriteOutcome.Unavailable:
        return Result.err(RefusalReason.StoreUnavailable);
      case WriteOutcome.Unknown:
        return Result.err(RefusalReason.OutcomeUnknown);
    }
  }

  function select(selector: Selector): readonly string[] {
    const hosts = view.hosts.get() ?? [];
    return selectHosts(selector, hosts, view.getAssignments());
  }

  async function change(
    kind: DecisionKind,
    id: string,
    from: readonly WaveState[],
    next: (wave: Wave) => Wave,
  ): Promise<Result<Wave, RefusalReason>> {
    const known = view.waves.entries.get().get(`waves/${id}`);
    if (!known) return refuse(RefusalReason.NotFound);
    if (!from.includes(known.value.state)) {
      return refuse(RefusalReason.Conflict);
    }
    return save(kind, next(known.value), known.version);
  }

  function progressOf(wave: Wave): WaveProgress {
    return findProgress({
      wave,
      assignments: view.getAssignments(),
      hasLeft: hostId => view.hasLeft(hostId, wave.id),
      records: [...view.records.entries.get().values()].map(e => e.value),
    });
  }

  function explainPools(wave: Wave): readonly string[] {
    const pools = new Set(
      wave.hostIds.map(hostId => view.getAssignments().get(hostId)?.pool),
    );
    const lines: string[] = [];
    for (const pool of pools) {
      if (pool === undefined) continue;
      const profile = getProfiles().find(known => known.pool === pool);
      const budget = explainBudget(profile, view.getRecord(pool));
      lines.push(...budget.map(line => `${pool}: ${line}`));
    }
    return lines;
  }

  return {
    async declare({selector, reason, urgent, dueAt}) {
      const hostIds = select(selector);
      if (hostIds.length === 0) return refuse(RefusalReason.NotFound);
      return save(
        DecisionKind.Plan,
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
    plan(selector) {
      const hostIds = select(selector);
      if (hostIds.length === 0) return refuse(RefusalReason.NotFound);
      const records = [...view.records.entries.get().values()];
      return Result.ok(
        planWave({
          hostIds,
          assignments: view.getAssignments(),
          profiles: getProfiles(),
          records: new Map(records.map(({value}) => [value.pool, value])),
        }),
      );
    },
    cancel: id =>
      change(
        DecisionKind.Cancel,
        id,
        [WaveState.Active, WaveState.Paused],
        wave => ({
          ...wave,
          state: WaveState.Cancelled,
          cause: 'cancelled by an operator',
          endedAt: Date.now(),
        }),
      ),
    resume: id =>
      change(DecisionKind.Plan, id, [WaveState.Paused], wave => ({
        ...wave,
        state: WaveState.Active,
        cause: 'resumed by an operator',
        acceptedLosses: progressOf(wave).notReturned,
      })),
    explain(id) {
      const wave = view.waves.entries.get().get(`waves/${id}`)?.value;
      if (!wave) return Result.err(RefusalReason.NotFound);
      const open =
        wave.state === WaveState.Active || wave.state === WaveState.Paused;
      const explanation = [`it is ${wave.state}: ${wave.cause}`];
      if (open) explanation.push(...explainPools(wave));
      return Result.ok({wave, progress: progressOf(wave), explanation});
    },
    list: view.listWaves,
  };
}
