import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {DecisionKind, HostState} from '../../src/types';
import {advance, advanceUntil} from '../support/paused_clock';
import {
  findWorker,
  getFleet,
  isSeenAs,
  listWorkers,
  readAssignments,
  readLedger,
} from './fleet_world';

const STEP_MS = 1_000;
const DOWN_MS = 4_000;
const UP_MS = 6_000;
const OTHER_PORT = 4_242;

When(
  'host {string} leaves, announced by source {word}',
  (hostId: string, source: string) => {
    if (source === 'word') return findWorker(hostId).setLeaving(true);
    relist(hostId, {leaving: true});
  },
);

function relist(
  hostId: string,
  fields: {leaving?: boolean; port?: number},
): void {
  const {hosts} = getFleet().site;
  hosts.set(hostId, {...findWorker(hostId).host, ...fields});
}

Then(
  'within {int} seconds every entry host sees {string} as {string}',
  (seconds: number, hostId: string, state: HostState) =>
    advanceUntil(() => isSeenAs(hostId, state), seconds * 1_000),
);

Then(
  'after {int} seconds every entry host sees {string} as {string}',
  async (seconds: number, hostId: string, state: HostState) => {
    await advance(seconds * 1_000);
    assert.ok(isSeenAs(hostId, state));
  },
);

When('host {string} crashes', (hostId: string) => {
  findWorker(hostId).faults.crashed = true;
});

When('host {string} answers again', (hostId: string) => {
  findWorker(hostId).faults.crashed = false;
});

When(
  'host {string} crashes and answers again {int} times',
  async (hostId: string, times: number) => {
    for (let i = 0; i < times; i += 1) await flap(hostId, DOWN_MS, UP_MS);
  },
);

When(
  'host {string} crashes for {int} seconds and answers again',
  (hostId: string, seconds: number) => flap(hostId, seconds * 1_000, 0),
);

async function flap(
  hostId: string,
  downMs: number,
  upMs: number,
): Promise<void> {
  findWorker(hostId).faults.crashed = true;
  await advance(downMs);
  findWorker(hostId).faults.crashed = false;
  await advance(upMs);
}

When('the host list is empty for {int} seconds', async (seconds: number) => {
  const {hosts} = getFleet().site;
  const listed = [...hosts];
  hosts.clear();
  await advance(seconds * 1_000);
  for (const [id, host] of listed) hosts.set(id, host);
});

Then('no host of the fleet is unavailable', () => {
  for (const {name} of getFleet().site.site.pools) {
    assert.deepEqual(readLedger(name).unavailable, []);
  }
});

Then('every entry host still sees {int} hosts', (count: number) => {
  for (const {core} of getFleet().site.entries) {
    assert.equal(core.view.hosts.get()?.length, count);
  }
});

When(
  'every host of {string} is unreachable for {int} seconds',
  async (pool: string, seconds: number) => {
    for (const worker of listWorkers(pool)) worker.faults.crashed = true;
    await advance(seconds * 1_000);
    assert.deepEqual(readLedger(pool).unavailable, []);
    for (const worker of listWorkers(pool)) worker.faults.crashed = false;
    await advance(DOWN_MS);
  },
);

Then('no host of {string} is unavailable', (pool: string) => {
  assert.deepEqual(readLedger(pool).unavailable, []);
});

When('host {string} disappears from the host list', (hostId: string) => {
  getFleet().site.hosts.delete(hostId);
});

Then(
  'within {int} seconds the ledger of {string} has {string} as {string}',
  (seconds: number, pool: string, hostId: string, state: HostState) =>
    advanceUntil(
      () =>
        readLedger(pool).unavailable.find(e => e.hostId === hostId)?.state ===
        state,
      seconds * 1_000,
    ),
);

When('host {string} is listed at another address', (hostId: string) =>
  relist(hostId, {port: OTHER_PORT}),
);

Then('every entry host knows the new address of {string}', (hostId: string) => {
  for (const {core} of getFleet().site.entries) {
    const host = core.view.hosts.get()?.find(known => known.id === hostId);
    assert.equal(host?.port, OTHER_PORT);
  }
});

Then(
  'within {int} seconds {string} has {int} hosts and {string} has {int}',
  (seconds: number, a: string, inA: number, b: string, inB: number) =>
    advanceUntil(
      () =>
        readAssignments(a).length === inA && readAssignments(b).length === inB,
      seconds * 1_000,
      STEP_MS,
    ),
);

When('{int} seconds pass for the fleet', (seconds: number) =>
  advance(seconds * 1_000),
);

Then('{int} move(s) was/were made and explained', (count: number) => {
  const moved = getFleet()
    .site.entries.flatMap(({telemetry}) => telemetry.decisions.find())
    .filter(({kind, cause}) => {
      return kind === DecisionKind.Move && cause.includes('now belongs to');
    });
  assert.equal(moved.length, count);
  const pools = getFleet().site.site.pools;
  const movedHosts = pools.flatMap(({name}) =>
    readAssignments(name).filter(
      assignment => assignment.movedFrom !== undefined,
    ),
  );
  assert.equal(movedHosts.length, count);
});

Then(
  'every entry host explains why {string} has not been drained yet',
  async (hostId: string) => {
    await advance(1_000);
    for (const {core} of getFleet().site.entries) {
      const shown = core.hosts.show(hostId);
      if (shown.isErr) throw new Error(shown.error);
      const text = shown.value.explanation.join('\n');
      assert.match(text, /will drain it/);
      assert.match(text, /2 of 2 hosts of the budget are used/);
    }
  },
);
