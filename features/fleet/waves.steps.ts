import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {WavePlan} from '../../src/decisions/fleet';
import {HistoryEventKind, checkFleetHistory} from '../../src/history/fleet';
import {
  HostState,
  PoolRecord,
  SelectorKind,
  Wave,
  WaveState,
} from '../../src/types';
import {advance, advanceUntil, settle} from '../support/paused_clock';
import {
  createFleet,
  findWorker,
  getFleet,
  listWorkers,
  readAssignments,
  readLedger,
  readWave,
} from './fleet_world';

const STEP_MS = 200;
const FIRST_DRAINS_TIMEOUT_MS = 5_000;
const LONG_TASK_MS = 900_000;
const START_TIMEOUT_MS = 10_000;
/**
 * More than half of a worker's slots, so that a host runs only one such task.
 */
const LONG_TASK_SIZE = {slots: 5, processors: 5, memoryMb: 1, accelerators: 0};

let waves: Wave[] = [];
let plan: WavePlan;
let stuckHostIds: string[] = [];
let addedHostId = '';

Given(
  'a fleet of {int} entry hosts with its history recorded',
  async (entries: number) => {
    waves = [];
    stuckHostIds = [];
    await createFleet(entries);
  },
);

Given(
  'every host of {string} is busy with a long task',
  async (pool: string) => {
    const workers = listWorkers(pool);
    const {jobs} = getFleet().site.entries[0].core;
    for (const worker of workers) {
      const submitted = await settle(
        jobs.submit({
          service: pool,
          team: '',
          idempotencyKey: `job-for-${worker.host.id}`,
          idempotent: true,
          size: LONG_TASK_SIZE,
          runTimeMs: LONG_TASK_MS,
          dueAt: Date.now() + 2 * LONG_TASK_MS,
          input: `work-ms=${LONG_TASK_MS}`,
        }),
      );
      assert.ok(submitted.isOk);
    }
    await advanceUntil(
      () => workers.every(worker => worker.report().slotsUsed > 0),
      START_TIMEOUT_MS,
    );
  },
);

async function declare(
  entry: number,
  kind: SelectorKind,
  name: string,
  urgent = false,
): Promise<void> {
  const {entries} = getFleet().site;
  const declared = await settle(
    entries[entry].core.waves.declare({
      selector: {kind, name},
      reason: 'test',
      urgent,
      dueAt: Date.now() + 60_000,
    }),
  );
  if (declared.isErr) throw new Error(declared.error);
  waves.push(declared.value);
}

async function waitForFirstDrain(pool: string): Promise<void> {
  await advanceUntil(
    () =>
      readLedger(pool).unavailable.some(e => e.state === HostState.Draining),
    FIRST_DRAINS_TIMEOUT_MS,
  );
}

function getPool(wave: Wave): string {
  return wave.selector.name;
}

When(
  'two operators declare overlapping waves over {string} at once',
  async (pool: string) => {
    await Promise.all([
      declare(0, SelectorKind.Pool, pool),
      declare(1, SelectorKind.All, ''),
    ]);
  },
);

When(
  'the fleet leader of {string} crashes during the drains',
  async (pool: string) => {
    const unavailable = () => readLedger(pool).unavailable.length;
    await advanceUntil(() => unavailable() > 0, FIRST_DRAINS_TIMEOUT_MS);
    const {leader} = readLedger(pool);
    const {entries} = getFleet().site;
    entries.find(({member}) => member.id === leader)?.crash();
  },
);

Then('within {int} seconds both waves are done', (seconds: number) =>
  waitForWaves(WaveState.Done, seconds),
);

Then('within {int} seconds the fleet wave is done', (seconds: number) =>
  waitForWaves(WaveState.Done, seconds),
);

async function waitForWaves(state: WaveState, seconds: number): Promise<void> {
  await advanceUntil(
    () => waves.every(({id}) => readWave(id).state === state),
    seconds * 1_000,
    STEP_MS,
  );
}

Then('every host of {string} has rebooted exactly once', (pool: string) => {
  for (const worker of listWorkers(pool)) {
    assert.equal(worker.report().bootNumber, 2, worker.host.id);
  }
});

Then('the recorded fleet history is sound', () => {
  assert.deepEqual(checkFleetHistory(getFleet().events), []);
});

When(
  'a host is added to {string} and a fleet wave over it is declared once it is listed',
  async (pool: string) => {
    const {site} = getFleet();
    addedHostId = site.addHost(pool).host.id;
    const {view} = site.entries[0].core;
    await advanceUntil(
      () => view.hosts.get()?.some(({id}) => id === addedHostId) === true,
      START_TIMEOUT_MS,
    );
    await declare(0, SelectorKind.Host, addedHostId);
  },
);

When('the added host disappears from the host list', () => {
  getFleet().site.hosts.delete(addedHostId);
});

Then('the added host has rebooted exactly once', () => {
  assert.equal(findWorker(addedHostId).report().bootNumber, 2);
});

When(
  'the store loses {int} percent of the answers to writes',
  (percent: number) => {
    for (const {storeFaults} of getFleet().site.entries) {
      storeFaults.lostAnswers = percent / 100;
    }
  },
);

When('a fleet wave over {string} is declared', (pool: string) =>
  declare(0, SelectorKind.Pool, pool),
);

When('an urgent fleet wave over {string} is declared', (pool: string) =>
  declare(1, SelectorKind.Pool, pool, true),
);

When(
  'the store is down for {int} seconds after the first drains',
  async (seconds: number) => {
    const pool = getPool(waves[0]);
    const unavailable = () => readLedger(pool).unavailable.length;
    await advanceUntil(() => unavailable() > 0, FIRST_DRAINS_TIMEOUT_MS);
    const {entries} = getFleet().site;
    for (const {storeFaults} of entries) storeFaults.down = true;
    const before = getFleet().events.length;
    await advance(seconds * 1_000);
    const written = getFleet().events.slice(before);
    assert.ok(written.every(({kind}) => kind === HistoryEventKind.Reboot));
    for (const {storeFaults} of entries) storeFaults.down = false;
  },
);

When('two hosts of {string} never return from a reboot', (pool: string) => {
  const workers = listWorkers(pool).slice(2, 4);
  for (const worker of workers) worker.faults.stuckReboot = true;
  stuckHostIds = workers.map(worker => worker.host.id);
});

Then(
  'within {int} seconds the fleet wave is paused and names both hosts',
  async (seconds: number) => {
    await waitForWaves(WaveState.Paused, seconds);
    const {cause} = readWave(waves[0].id);
    for (const hostId of stuckHostIds) assert.ok(cause.includes(hostId), cause);
  },
);

Then('no further host of {string} is drained', async (pool: string) => {
  const count = () =>
    listWorkers(pool).filter(w => w.report().bootNumber > 1).length;
  const before = count();
  await advance(20_000);
  assert.equal(count(), before);
  assert.ok(before < listWorkers(pool).length);
});

When('the two hosts are repaired and the fleet wave is resumed', async () => {
  for (const worker of listWorkers(getPool(waves[0]))) {
    if (!worker.faults.stuckReboot) continue;
    worker.faults.stuckReboot = false;
    worker.repair();
  }
  const {core} = getFleet().site.entries[2];
  const resumed = await settle(core.waves.resume(waves[0].id));
  assert.ok(resumed.isOk);
});

When("a host of {string} that isn't drained fails", async (pool: string) => {
  await waitForFirstDrain(pool);
  const unavailableIds = readLedger(pool).unavailable.map(e => e.hostId);
  assert.equal(unavailableIds.length, 2);
  const remaining = listWorkers(pool).find(
    w => !unavailableIds.includes(w.host.id),
  );
  if (remaining) remaining.faults.crashed = true;
});

Then(
  'within {int} seconds one drained host of {string} is back in service',
  async (seconds: number, pool: string) => {
    const states = () => readLedger(pool).unavailable.map(e => e.state);
    await advanceUntil(
      () =>
        states().includes(HostState.Failed) &&
        states().filter(state => state === HostState.Draining).length === 1,
      seconds * 1_000,
    );
    await advance(2_000);
    const drainingWorkers = listWorkers(pool).filter(w => w.report().draining);
    assert.equal(drainingWorkers.length, 1);
  },
);

Then(
  'after {int} seconds no host of {string} has rebooted',
  async (seconds: number, pool: string) => {
    await advance(seconds * 1_000);
    for (const worker of listWorkers(pool)) {
      assert.equal(worker.report().bootNumber, 1);
    }
  },
);

Then(
  'the fleet wave explains what consumes the budget of {string}',
  (pool: string) => {
    for (const {core} of getFleet().site.entries) {
      const explained = core.waves.explain(waves[0].id);
      if (explained.isErr) throw new Error(explained.error);
      const text = explained.value.explanation.join('\n');
      assert.match(text, new RegExp(`${pool}: 2 of 2 hosts of the budget`));
      assert.match(text, /is draining/);
    }
  },
);

When('the fleet wave is cancelled after its first drains', async () => {
  await waitForFirstDrain(getPool(waves[0]));
  const {core} = getFleet().site.entries[1];
  const cancelled = await settle(core.waves.cancel(waves[0].id));
  assert.ok(cancelled.isOk);
});

Then(
  'within {int} seconds no host of {string} is unavailable',
  async (seconds: number, pool: string) => {
    await advanceUntil(
      () =>
        readLedger(pool).unavailable.length === 0 &&
        listWorkers(pool).every(worker => !worker.report().draining),
      seconds * 1_000,
    );
  },
);

Then(
  'the drains of {string} finished one rack before the next',
  (pool: string) => {
    const racks: string[] = [];
    for (const event of getFleet().events) {
      if (event.kind !== HistoryEventKind.Reboot) continue;
      const worker = listWorkers(pool).find(w => w.host.id === event.hostId);
      if (worker && racks.at(-1) !== worker.host.rack) {
        racks.push(worker.host.rack);
      }
    }
    assert.equal(racks.length, new Set(racks).size, racks.join(', '));
    assert.equal(racks.length, 2);
  },
);

When(
  'the maintenance interval of {string} becomes {int} seconds',
  async (pool: string, seconds: number) => {
    const {configuration} = getFleet().site.entries[0].core;
    const known = configuration.current.get();
    if (!known) throw new Error('the entry host has no configuration yet');
    const profiles = known.profiles.map(profile => ({
      ...profile,
      maintenanceIntervalMs: profile.pool === pool ? seconds * 1_000 : 0,
    }));
    const applied = await settle(
      configuration.apply({
        baseRevision: known.revision,
        operationId: 'rotation',
        author: 'test',
        profiles,
      }),
    );
    assert.ok(applied.isOk);
  },
);

Then(
  'within {int} seconds every host of {string} has been maintained',
  (seconds: number, pool: string) =>
    advanceUntil(
      () => readAssignments(pool).every(a => a.lastMaintainedAt > 0),
      seconds * 1_000,
      STEP_MS,
    ),
);

Then(
  'never more than {int} host of {string} was in rotation at once',
  (limit: number, pool: string) => {
    let maxUnavailable = 0;
    for (const event of getFleet().events) {
      if (event.kind !== HistoryEventKind.Write || !event.value) continue;
      if (event.key !== `pools/${pool}`) continue;
      const {unavailable} = JSON.parse(event.value) as PoolRecord;
      maxUnavailable = Math.max(maxUnavailable, unavailable.length);
    }
    assert.ok(
      maxUnavailable > 0 && maxUnavailable <= limit,
      `${maxUnavailable} hosts were unavailable at once`,
    );
  },
);

When('a fleet wave over {string} is planned', (pool: string) => {
  const {core} = getFleet().site.entries[1];
  const planned = core.waves.plan({kind: SelectorKind.Pool, name: pool});
  if (planned.isErr) throw new Error(planned.error);
  plan = planned.value;
});

Then(
  'the fleet plan covers {int} hosts and its lower bound is {int} seconds',
  (hosts: number, seconds: number) => {
    assert.equal(plan.hostIds.length, hosts);
    assert.equal(plan.lowerBoundMs, seconds * 1_000);
    assert.equal(plan.expectedMs, seconds * 1_000);
    assert.deepEqual(plan.obstacles, []);
  },
);

Then('no wave has been declared', () => {
  assert.equal(getFleet().site.keyValue.list('waves/').entries.length, 0);
});

When(
  '{int} fleet waves over host {string} are declared at once',
  async (count: number, hostId: string) => {
    const numbers = Array.from({length: count}, (_, i) => i);
    await Promise.all(
      numbers.map(i => declare(i % 3, SelectorKind.Host, hostId)),
    );
  },
);

Then(
  'within {int} seconds at most {int} wave records are left, all done',
  (seconds: number, limit: number) =>
    advanceUntil(
      () => {
        const {entries} = getFleet().site.keyValue.list('waves/');
        const remainingWaves = entries.map(
          ({value}) => JSON.parse(value) as Wave,
        );
        if (remainingWaves.length > limit) return false;
        return remainingWaves.every(({state}) => state === WaveState.Done);
      },
      seconds * 1_000,
      STEP_MS,
    ),
);

Then(
  'host {string} rebooted at most {int} times',
  (hostId: string, times: number) => {
    const {bootNumber} = findWorker(hostId).report();
    assert.ok(
      bootNumber > 1 && bootNumber <= 1 + times,
      `boot number is ${bootNumber}`,
    );
  },
);

Then(
  'after one more wave the record of host {string} lists only that wave as completed',
  async (hostId: string) => {
    await declare(0, SelectorKind.Host, hostId);
    const {id} = waves[waves.length - 1];
    await advanceUntil(() => readWave(id).state === WaveState.Done, 10_000);
    const assigned = readAssignments('sky-lookup').find(
      a => a.hostId === hostId,
    );
    assert.deepEqual(assigned?.completedWaves, [id]);
  },
);
