import assert from 'node:assert/strict';
import {Before, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  HOST_CPU_MILLIS,
  PassSimulation,
  SimulatedWork,
  simulatePasses,
} from './pass_simulation';

/** Time in ms by which a pass of the simulation may notice an end late. */
const MAX_NOTICE_MS = 40;

let histories: {works: SimulatedWork[]; result: PassSimulation}[] = [];

Before(() => {
  histories = [];
});

When(
  '{int} random histories run in pools that look ahead, with seed {int}',
  (count: number, seed: number) => {
    fc.assert(
      fc.property(createHistory(), history => {
        const result = simulatePasses(
          {hostCount: 3, hostsPerRack: 3, looksAhead: true},
          history,
          30_000,
        );
        histories.push({works: history, result});
      }),
      {seed, numRuns: count},
    );
  },
);

Then('every large task starts by the time it was first promised', () => {
  let promises = 0;
  for (const {result} of histories) {
    const promised = new Map<string, number>();
    for (const {list} of result.reservations) {
      for (const {task, at} of list) {
        if (promised.has(task.name)) continue;
        promised.set(task.name, at);
      }
    }
    promises += promised.size;
    for (const [task, at] of promised) {
      const start = result.starts.find(each => each.task === task);
      assert.ok(
        start && start.at <= at + MAX_NOTICE_MS,
        `${task}: ${start?.at}, ${at}`,
      );
    }
  }
  assert.ok(promises > 20, `${promises} promises`);
});

Then('no host ever had less than no room', () => {
  for (const {works: submitted, result} of histories) {
    for (const {at, host} of result.starts) {
      const running = result.starts.filter(start => {
        const {runMs} = submitted.find(({name}) => name === start.work)!;
        return start.host === host && start.at <= at && at < start.at + runMs;
      });
      const used = running.reduce((sum, {work}) => {
        const {step} = submitted.find(({name}) => name === work)!;
        return sum + (step.cpuMillis ?? 0);
      }, 0);
      assert.ok(used <= HOST_CPU_MILLIS, `${host} at ${at}: ${used}`);
    }
  }
});

/** A full pool, one large task and small tasks that are less urgent. */
function createHistory(): fc.Arbitrary<SimulatedWork[]> {
  const small = fc.record({
    at: fc.integer({min: 0, max: 2_000}),
    cpuMillis: fc.integer({min: 1_000, max: 3_000}),
    runMs: fc.integer({min: 300, max: 4_000}),
  });
  return fc
    .tuple(
      fc.array(small, {minLength: 40, maxLength: 120}),
      fc.integer({min: 4_000, max: 14_000}),
    )
    .map(([others, largeMillis]) => [
      ...others.map(({at, cpuMillis, runMs}, index) => ({
        name: `small-${index}`,
        at,
        step: {cpuMillis},
        runMs,
      })),
      {
        name: 'large',
        at: 600,
        // Long-running work is the most urgent.
        step: {cpuMillis: largeMillis, lasting: true},
        runMs: 500,
      },
    ]);
}
