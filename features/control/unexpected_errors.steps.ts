import assert from 'node:assert/strict';
import {After, Given, Then} from '@cucumber/cucumber';
import {ActorSystemRef, start, stop} from 'nact';
import {createActor, createTicker} from '../../src/actors/shared';
import {UnexpectedErrors} from '../../src/telemetry';
import {advance} from '../support/paused_clock';

const INTERVAL_MS = 1_000;

let calls = 0;
let failing = 0;
let activities: string[] = [];
let dispose: (() => void) | undefined;
let system: ActorSystemRef | undefined;

const errors: UnexpectedErrors = {
  report: activity => void activities.push(activity),
};

After(() => {
  dispose?.();
  if (system) stop(system);
  dispose = system = undefined;
});

Given(
  'a periodic task that throws in its first call and rejects in its second',
  () => {
    calls = 0;
    activities = [];
    const tick = () => {
      calls += 1;
      if (calls === 1) throw new Error('thrown');
      return calls === 2 ? Promise.reject(new Error('rejected')) : undefined;
    };
    const options = {intervalMs: INTERVAL_MS, activity: 'task', tick, errors};
    dispose = createTicker(options).dispose;
  },
);

Given('an actor that fails on the first of {int} messages', (count: number) =>
  sendMessages(count, message => message === 0),
);

Given('an actor that fails on each of {int} messages', (count: number) =>
  sendMessages(count, () => true),
);

Then(
  'after {int} intervals it has been called {int} times with {int} reported errors',
  async (intervals: number, expected: number, reported: number) => {
    await advance(intervals * INTERVAL_MS);
    assert.equal(calls, expected);
    assert.deepEqual(activities, Array(reported).fill('task'));
  },
);

Then(
  'it has handled {int} messages with {int} reported error(s)',
  async (handled: number, reported: number) => {
    await advance(INTERVAL_MS);
    assert.equal(calls, handled);
    assert.deepEqual(activities, Array(reported).fill('actor'));
  },
);

Then('its failing has been reported {int} times', (count: number) =>
  assert.equal(failing, count),
);

function sendMessages(
  count: number,
  fails: (message: number) => boolean,
): void {
  calls = failing = 0;
  activities = [];
  system = start();
  const actor = createActor<undefined, number>({
    system,
    name: 'failing',
    initial: undefined,
    handle(_, message) {
      if (fails(message)) throw new Error('thrown');
      calls += 1;
      return undefined;
    },
    errors,
    onFailing: () => (failing += 1),
  });
  for (let message = 0; message < count; message += 1) actor.tell(message);
}
