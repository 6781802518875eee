import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {
  LEADER_KEY,
  MACHINE_ORDERS_KEY,
  NO_ORDER_SIGHTINGS,
  OrderSightings,
  createOrderSightings,
} from '../../src/actors/workflows';
import {OrderLog, createOrderLog} from '../../src/actors/workflows/order_log';
import {
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {Store, StoreFailure} from '../../src/ports';
import {ClockStep, UnixClock, createUnixClock} from '../../src/state';
import {advance, stepWallClock} from '../support/paused_clock';
import {createStrictErrors, throwError} from './strict_errors';

/** Interval in ms at which the clock is read, as a busy process does. */
const READ_INTERVAL_MS = 250;

let clock: UnixClock;
let steps: ClockStep[] = [];
let reader: ReturnType<typeof setInterval> | undefined;
let originMs = 0;

After(() => {
  clearInterval(reader);
  clearInterval(reviewer);
  sightings.dispose();
  sightings = NO_ORDER_SIGHTINGS;
});

Given('a Unix clock that has run for {int} s', async (seconds: number) => {
  steps = [];
  clock = createUnixClock(step => steps.push(step));
  originMs = Date.now() - performance.now();
  reader = setInterval(() => clock.now(), READ_INTERVAL_MS);
  await advance(seconds * 1_000);
});

When('the wall clock is set {int} ms forward', async (ms: number) => {
  stepWallClock(ms);
  await advance(READ_INTERVAL_MS);
});

Then(
  'the Unix clock still shows the time since its start, within {int} ms',
  (toleranceMs: number) => {
    const error = clock.now() - (originMs + performance.now());
    assert.ok(Math.abs(error) <= toleranceMs, `${error} ms`);
  },
);

Then("the Unix clock shows the wall clock's time", () => {
  assert.ok(Math.abs(clock.now() - Date.now()) <= 1);
});

Then(/^(\d+) steps? of the clock (?:is|are) reported$/, (count: string) => {
  assert.equal(steps.length, Number(count), JSON.stringify(steps));
});

const MACHINE = 'm-1';
const GAP_MS = 4_000;
const keyValue = createKeyValue();
let orderLog: OrderLog;
let sightings: OrderSightings = NO_ORDER_SIGHTINGS;
let reviewer: ReturnType<typeof setInterval> | undefined;

/** Time in ms after which the store carries out the next write. */
let writeDelayMs = 0;

/** Wraps a store whose next write is carried out late and is not answered. */
function delayWrites(store: Store): Store {
  return {
    ...store,
    async transact(transaction) {
      if (writeDelayMs === 0) return store.transact(transaction);
      setTimeout(() => void store.transact(transaction), writeDelayMs);
      writeDelayMs = 0;
      return Result.err(StoreFailure.AnswerLost);
    },
  };
}

/** Makes a new holder lead and opens its order log. */
async function takeOver(gapMs: number): Promise<void> {
  const version = keyValue.get(LEADER_KEY)?.version ?? 0;
  const value = JSON.stringify({memberId: 'entry-1', token: String(version)});
  keyValue.swap({key: LEADER_KEY, expectedVersion: version, value});
  const fence = keyValue.get(LEADER_KEY)?.version ?? 0;
  const store = delayWrites(createMemoryStore(keyValue, createStoreFaults()));
  clearInterval(reviewer);
  orderLog = createOrderLog(
    store,
    fence,
    gapMs,
    () => Date.now(),
    sightings,
    createStrictErrors(),
  );
  reviewer = setInterval(() => orderLog.review(), READ_INTERVAL_MS);
  await advance(100);
}

Given('a member that follows the record of machine orders', async () => {
  const store = createMemoryStore(keyValue, createStoreFaults());
  sightings = createOrderSightings(store, 1_200, 200, throwError);
  await advance(100);
});

When('the earlier holder records another order for the machine', async () => {
  assert.ok(await orderLog.record([MACHINE]));
});

Given('an earlier holder has recorded an order for a machine', async () => {
  await takeOver(GAP_MS);
  await advance(GAP_MS);
  assert.ok(await orderLog.record([MACHINE]));
});

When('another holder takes over with a gap of {int} ms', (gapMs: number) =>
  takeOver(gapMs),
);

Then('the other holder may not order the machine', () => {
  assert.equal(orderLog.mayOrder(MACHINE), false);
  assert.equal(orderLog.mayOrder('m-2'), true);
});

Then('the other holder may order the machine', () => {
  assert.equal(orderLog.mayOrder(MACHINE), true);
});

let confirmed: string[] = [];

async function record(machine: string): Promise<void> {
  if (await orderLog.record([machine])) confirmed.push(machine);
}

When(
  'the holder records an order, and the store carries the write out {int} s later',
  async (seconds: number) => {
    confirmed = [];
    writeDelayMs = seconds * 1_000;
    await record('m-3');
  },
);

When(
  'the holder records an order for another machine after {int} ms',
  async (ms: number) => {
    await advance(ms);
    await record('m-4');
    assert.ok(confirmed.length > 0);
  },
);

Then('every order that was confirmed is still recorded', () => {
  const stored = JSON.parse(keyValue.get(MACHINE_ORDERS_KEY)?.value ?? '{}');
  for (const machine of confirmed) assert.ok(machine in stored, machine);
});
