import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {SubmitAnswer, SubmitOutcome} from '../../src/actors/workflows';
import {advance, advanceUntil} from '../support/paused_clock';
import {getSubmitted, getWorld} from './running.steps';
import {
  ANYBODY,
  QUEUE,
  TIMES,
  countStarts,
  createSpec,
  createStep,
} from './workflow_world';

const ID = '00000000000000a7';
/** Moves the end of an outage against the calls of the entry hosts, in ms. */
const PHASE_STEP_MS = 37;
let answer: SubmitAnswer | undefined;

async function submit(waitMs: number): Promise<void> {
  const draft = {
    spec: createSpec(),
    steps: [createStep()],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  answer = undefined;
  const {intake} = getWorld().members[1].entry;
  void intake.submit(QUEUE, ID, draft, ANYBODY, waitMs).then(value => {
    answer = value;
    const {outcome} = value;
    if (outcome === SubmitOutcome.Accepted)
      getSubmitted().push({id: ID, outcome});
  });
  await advance(1);
}

When(
  'the store is silent and a caller submits a workflow that waits {int} ms',
  async (waitMs: number) => {
    for (const {faults} of getWorld().members) faults.silent = true;
    await submit(waitMs);
  },
);

When(
  'the store is unreachable for {int} s and a caller submits a workflow that waits {int} ms',
  async (seconds: number, waitMs: number) => {
    for (const {faults} of getWorld().members) faults.down = true;
    await advance(seconds * 1_000);
    await submit(waitMs);
  },
);

When('the store answers again', () => {
  for (const {faults} of getWorld().members) {
    faults.silent = false;
    faults.down = false;
  }
});

Then('the caller has no answer yet', () => assert.equal(answer, undefined));

Then(
  'the caller is answered {string} within {int} ms',
  async (outcome: string, limitMs: number) => {
    await advanceUntil(() => answer !== undefined, limitMs);
    assert.equal(answer?.outcome, outcome);
  },
);

Then('it is asked to come back after {int} ms', (ms: number) =>
  assert.equal(answer?.retryAfterMs, ms),
);

Then('one run has started', () => assert.equal(countStarts(getWorld()), 1));

Then('the entry host must not call the workflow refused', () =>
  assert.ok(getWorld().members[1].entry.intake.mayBeStored(ID)),
);

When(
  "the store is away {int} times, longer than the leader's lease",
  async (count: number) => {
    const setDown = (down: boolean) => {
      for (const {faults} of getWorld().members) faults.down = down;
    };
    for (let index = 0; index < count; index += 1) {
      setDown(true);
      await advance(TIMES.leaderLeaseMs * 2 + index * PHASE_STEP_MS);
      setDown(false);
      await advance(TIMES.runLeaseMs);
    }
  },
);
