import {ModelStep, ModelStepKind} from './model_step';
import {HistoryEvent} from '../../src/history/fleet';
import {
  PoolReview,
  createPoolReview,
  createWaves,
} from '../../src/actors/fleet';
import {KeyValue, createKeyValue} from '../../src/stand_ins/platform';
import {createHost, createProfiles} from '../../src/stand_ins/site';
import {
  WorkerModel,
  createMemoryWorkers,
  createWorkerModel,
} from '../../src/stand_ins/worker';
import {LogLevel, createTelemetry} from '../../src/telemetry';
import {Configuration, Host, PoolRecord, SelectorKind} from '../../src/types';
import {recordFleetHistory} from '../support/fleet_history';
import {
  CallOutcome,
  GatedStore,
  PendingCall,
  createGatedStore,
} from './gated_store';
import {ModelView, createModelView} from './model_view';

/**
 * Model of two pools whose leaders, operators and faults act in any order, one
 * step at a time.
 */
export interface FleetModel {
  readonly events: readonly HistoryEvent[];
  readonly keyValue: KeyValue;
  /** Executes one step; the clock must be paused. */
  execute(step: ModelStep): Promise<void>;
  dispose(): void;
}

/** Advances the paused clock by a number of ms. */
export type Tick = (ms: number) => void;

interface Leader {
  readonly pool: string;
  readonly gate: GatedStore;
  readonly view: ModelView;
  readonly reviews: PoolReview;
  ledger: Awaited<ReturnType<PoolReview['load']>>;
  busy: boolean;
}

const SITE = {
  name: 'model',
  availabilityZones: ['zone-a', 'zone-b'],
  pools: [
    {name: 'desk', workers: 5, spare: false},
    {name: 'spare', workers: 4, spare: true},
  ],
};
const REBOOT_MS = 3_000;
const CALL_OUTCOMES = [
  ...Array<CallOutcome>(9).fill(CallOutcome.Answered),
  CallOutcome.AnswerLost,
  CallOutcome.AnswerLost,
  CallOutcome.Late,
  CallOutcome.Unreachable,
];
const TICK_DURATIONS_MS = [
  100, 100, 500, 1_000, 4_000, 20_000, 120_000, 700_000,
];

/**
 * Creates a deterministic fleet model: its state depends only on the executed
 * steps.
 *
 * @param tick advances the paused clock
 */
export function createFleetModel(tick: Tick): FleetModel {
  const keyValue = createKeyValue();
  const telemetry = createTelemetry('model', LogLevel.Error);
  const hosts = new Map<string, Host>();
  const models = new Map<string, WorkerModel>();
  for (const pool of SITE.pools) {
    for (let i = 0; i < pool.workers; i += 1) {
      const host = createHost(SITE, pool, i, '127.0.0.1', 0);
      hosts.set(host.id, host);
      models.set(host.id, createWorkerModel({host, rebootMs: REBOOT_MS}));
    }
  }
  const events = recordFleetHistory(keyValue, models.values());
  const workers = createMemoryWorkers(models);
  const listed = new Map(hosts);
  const leaders: Leader[] = [];
  const operators = [createOperator(), createOperator()];
  let revision = 0;
  let configuration = configure(2);

  function configure(budget: number): Configuration {
    revision += 1;
    const next: Configuration = {
      revision,
      operationId: `operation-${revision}`,
      author: 'model',
      acceptedAt: Date.now(),
      profiles: createProfiles(SITE).map(profile => ({
        ...profile,
        maxUnavailable: profile.spare ? 1 : budget,
        maintenanceIntervalMs: 0,
      })),
    };
    const key = 'config/current';
    const expectedVersion = keyValue.get(key)?.version ?? 0;
    keyValue.swap({key, expectedVersion, value: JSON.stringify(next)});
    return next;
  }

  function createOperator() {
    const gate = createGatedStore(keyValue);
    const view = createModelView(keyValue, () => [...listed.values()]);
    const waves = createWaves({
      store: gate.store,
      view,
      telemetry,
      getProfiles: () => configuration.profiles,
    });
    return {gate, view, waves};
  }

  function elect(pool: string): void {
    const key = `pools/${pool}`;
    const found = keyValue.get(key);
    const known = found && (JSON.parse(found.value) as PoolRecord);
    const term = (known?.term ?? 0) + 1;
    const record: PoolRecord = {
      pool,
      term,
      leader: `entry-${term}`,
      unavailable: known?.unavailable ?? [],
    };
    keyValue.swap({
      key,
      expectedVersion: found?.version ?? 0,
      value: JSON.stringify(record),
    });
    const gate = createGatedStore(keyValue);
    const view = createModelView(keyValue, () => [...listed.values()]);
    const reviews = createPoolReview({
      store: gate.store,
      workers,
      telemetry,
      view,
      pool,
      term,
      getProfile: () => configuration.profiles.find(p => p.pool === pool),
      getConfiguration: () => configuration,
      onObservationChange: () => {},
    });
    view.refresh();
    leaders.push({pool, gate, view, reviews, ledger: undefined, busy: false});
  }

  async function runReview(leader: Leader): Promise<void> {
    if (leader.busy) return;
    leader.busy = true;
    leader.reviews.probes.probeDue(
      leader.view.getListedHosts(leader.pool),
      new Set(hosts.keys()),
    );
    leader.ledger ??= await leader.reviews.load();
    if (leader.ledger) {
      leader.ledger = await leader.reviews.review(leader.ledger);
    }
    leader.busy = false;
  }

  function selectCall(number: number): [GatedStore, PendingCall] | undefined {
    const gates = [...leaders, ...operators].map(({gate}) => gate);
    const calls = gates.flatMap(gate =>
      gate.waiting.map(call => [gate, call] as [GatedStore, PendingCall]),
    );
    return calls.length === 0 ? undefined : calls[number % calls.length];
  }

  function releaseCall(a: number, b: number): void {
    const selected = selectCall(a);
    if (!selected) return;
    const [gate, call] = selected;
    gate.release(call, CALL_OUTCOMES[b % CALL_OUTCOMES.length]);
  }

  function applyLateWrite(a: number): void {
    const all = [...leaders, ...operators].map(({gate}) => gate.late);
    const pending = all.filter(late => late.length > 0);
    pending[a % pending.length]?.shift()?.();
  }

  function declare(a: number, b: number): void {
    const {view, waves} = operators[a % operators.length];
    view.refresh();
    const kinds = [SelectorKind.All, SelectorKind.Pool, SelectorKind.Rack];
    const names = ['', 'desk', 'rack-1'];
    const i = b % kinds.length;
    void waves.declare({
      selector: {kind: kinds[i], name: names[i]},
      reason: 'model',
      urgent: b % 2 === 0,
      dueAt: Date.now(),
    });
  }

  function changeWave(a: number, b: number): void {
    const {view, waves} = operators[a % operators.length];
    const known = waves.list();
    const wave = known[b % known.length];
    if (a % 3 === 0) view.refresh();
    if (!wave) return;
    if (b % 2 === 0) void waves.cancel(wave.id);
    else void waves.resume(wave.id);
  }

  function selectWorker(number: number): WorkerModel {
    return [...models.values()][number % models.size];
  }

  function apply({kind, a, b}: ModelStep): void {
    switch (kind) {
      case ModelStepKind.ReleaseCall:
        return releaseCall(a, b);
      case ModelStepKind.ApplyLateWrite:
        return applyLateWrite(a);
      case ModelStepKind.Review:
        return void runReview(leaders[a % leaders.length]);
      case ModelStepKind.Refresh:
        return leaders[a % leaders.length].view.refresh();
      case ModelStepKind.Tick:
        return tick(TICK_DURATIONS_MS[a % TICK_DURATIONS_MS.length]);
      case ModelStepKind.Elect:
        return elect(SITE.pools[a % SITE.pools.length].name);
      case ModelStepKind.Declare:
        return declare(a, b);
      case ModelStepKind.ChangeWave:
        return changeWave(a, b);
      case ModelStepKind.Configure:
        configuration = configure(a % 4);
        return;
      case ModelStepKind.Crash:
        selectWorker(a).faults.crashed = b % 2 === 0;
        return;
      case ModelStepKind.StuckReboot:
        selectWorker(a).faults.stuckReboot = b % 2 === 0;
        return;
      case ModelStepKind.Leave:
        return selectWorker(a).setLeaving(b % 2 === 0);
      case ModelStepKind.Unlist: {
        const {host} = selectWorker(a);
        if (b % 2 === 0) listed.delete(host.id);
        else listed.set(host.id, host);
        return;
      }
      case ModelStepKind.Quarantine: {
        const leader = leaders[a % leaders.length];
        if (leader.busy) return;
        leader.busy = true;
        const hostId = selectWorker(b).host.id;
        void leader.reviews
          .quarantine(leader.ledger, {hostId, cause: 'model'})
          .then(({ledger}) => {
            leader.ledger = ledger;
            leader.busy = false;
          });
        return;
      }
    }
  }

  for (const {name} of SITE.pools) elect(name);
  return {
    events,
    keyValue,
    async execute(step) {
      apply(step);
      await flushMicrotasks();
    },
    dispose() {
      for (const model of models.values()) model.dispose();
      keyValue.dispose();
    },
  };
}

const MICROTASK_TURNS = 40;

async function flushMicrotasks(): Promise<void> {
  for (let i = 0; i < MICROTASK_TURNS; i += 1) await Promise.resolve();
}
