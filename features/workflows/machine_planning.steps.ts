import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  DemandForecast,
  MachineMove,
  MachineView,
  PoolView,
  createDemandForecast,
  planPools,
} from '../../src/decisions/workflows';
import {Coordinator} from '../../src/actors/workflows';
import {
  MachineViews,
  createMachineViews,
} from '../../src/actors/workflows/machine_views';
import {MachineState} from '../../src/types/workflow';
import {advance} from '../support/paused_clock';

const POOL = 'planner-api';
const SPARE_POOL = 'backoffice';
const MACHINE_CPU_MILLIS = 16_000;
/** Minimum number of machines of a pool in these scenarios. */
const MIN_MACHINES = 4;
const RELEASE_AFTER_MS = 2_200;
const CPU_MILLIS_PER_CORE = 1_000;

let forecast: DemandForecast;
let now = 0;
let machines: MachineView[] = [];
let pools: PoolView[] = [];
let moves: readonly MachineMove[] = [];

Given("a forecast of a pool's demand", () => {
  forecast = createDemandForecast();
  now = 0;
});

When(
  '{int} workflows per second of {int} core-seconds each arrive for {int} ms',
  (perSecond: number, coreSeconds: number, durationMs: number) => {
    const work = coreSeconds * 1_000 * CPU_MILLIS_PER_CORE;
    const until = now + durationMs;
    for (; now < until; now += 1_000 / perSecond) {
      forecast.observe(POOL, work, now);
    }
  },
);

When('{int} s pass without arrivals', (seconds: number) => {
  now += seconds * 1_000;
});

Then(
  'the predicted use is between {int} and {int} cores',
  (min: number, max: number) => {
    const cores = forecast.predict(POOL, now) / CPU_MILLIS_PER_CORE;
    assert.ok(cores >= min && cores <= max, String(cores));
  },
);

function createMachines(pool: string, count: number): MachineView[] {
  return Array.from({length: count}, (_, index) => ({
    id: `${pool}-${index}`,
    pool,
    state: MachineState.Up,
    hostId: pool === SPARE_POOL ? '' : `host-${pool}-${index}`,
    tasks: 0,
    lasting: 0,
    serves: pool !== SPARE_POOL,
    cordoned: false,
    idleMs: 0,
    ordered: false,
  }));
}

function createPool(name: string, change: Partial<PoolView> = {}): PoolView {
  return {
    name,
    spare: false,
    demandCpuMillis: 0,
    expectedCpuMillis: 0,
    minHosts: 0,
    observedMs: 60_000,
    ...change,
  };
}

function plan(): void {
  moves = planPools(pools, machines, {
    machineCpuMillis: MACHINE_CPU_MILLIS,
    minMachines: MIN_MACHINES,
    releaseAfterMs: RELEASE_AFTER_MS,
  });
}

Given(
  '{int} machines in {string}, {int} in {string} and {int} spare ones',
  (
    first: number,
    firstPool: string,
    second: number,
    secondPool: string,
    spare: number,
  ) => {
    machines = [
      ...createMachines(firstPool, first),
      ...createMachines(secondPool, second),
      ...createMachines(SPARE_POOL, spare),
    ];
    pools = [
      createPool(firstPool),
      createPool(secondPool),
      createPool(SPARE_POOL, {spare: true}),
    ];
  },
);

When(
  '{string} has work for {int} machines and a predicted demand of {int} machines',
  (name: string, current: number, predicted: number) => {
    pools = pools.map(pool =>
      pool.name === name
        ? {
            ...pool,
            demandCpuMillis: current * MACHINE_CPU_MILLIS,
            expectedCpuMillis: predicted * MACHINE_CPU_MILLIS,
          }
        : pool,
    );
    plan();
  },
);

When(
  'no work for {string} has been observed and every machine is idle for {int} s',
  (name: string, seconds: number) => {
    pools = pools.map(pool =>
      pool.name === name ? {...pool, observedMs: 0} : pool,
    );
    machines = machines.map(machine => ({
      ...machine,
      idleMs: seconds * 1_000,
    }));
    plan();
  },
);

function countSpare(): number {
  return moves.filter(({from}) => from === SPARE_POOL).length;
}

Then(
  '{int} machines are planned to move to {string}, all of them spare',
  (count: number, pool: string) => {
    assert.equal(moves.filter(({to}) => to === pool).length, count);
    assert.equal(countSpare(), count);
  },
);

Then(
  '{int} machines are planned to move to {string}, {int} of them spare',
  (count: number, pool: string, spare: number) => {
    assert.equal(moves.filter(({to}) => to === pool).length, count);
    assert.equal(countSpare(), spare);
  },
);

Then(
  'only machines of {string} are planned to move to the spare pool',
  (pool: string) => {
    assert.ok(moves.length > 0);
    assert.ok(moves.every(({from, to}) => from === pool && to === SPARE_POOL));
  },
);

const REVIEW_INTERVAL_MS = 100;
let views: MachineViews;
let idleMs = 0;

function review(): void {
  const snapshot = views.takeSnapshot(() => false);
  idleMs = snapshot.machines.get('m-1')?.idleMs ?? 0;
}

Given(
  'an idle machine that the leader reviews every {int} ms',
  (intervalMs: number) => {
    assert.equal(intervalMs, REVIEW_INTERVAL_MS);
    const coordinator: Partial<Coordinator> = {
      sessions: new Map(),
      records: new Map(),
      forecast: createDemandForecast(),
    };
    views = createMachineViews(
      coordinator as Coordinator,
      () => undefined,
      () => Date.now(),
    );
    views.setList([
      {id: 'm-1', pool: POOL, state: MachineState.Up, hostId: 'host-1'},
    ]);
  },
);

When('{int} s of reviews pass', async (seconds: number) => {
  for (let count = 0; count <= seconds * 10; count += 1) {
    review();
    await advance(REVIEW_INTERVAL_MS);
  }
});

When('{int} s pass without reviews', (seconds: number) =>
  advance(seconds * 1_000),
);

Then('the machine counts as idle for {int} s', (seconds: number) =>
  assert.equal(idleMs, seconds * 1_000),
);
