import assert from 'node:assert/strict';
import {Before, Then, When} from '@cucumber/cucumber';
import {CancelOutcome, WITHDRAWAL_PREFIX} from '../../src/actors/workflows';
import {settle} from '../support/paused_clock';
import {CancellationReport, playCancellations} from './cancellation_histories';
import {getWorld} from './running.steps';
import {ANYBODY, QUEUE, TestMember, countStarts} from './workflow_world';

const ID = '00000000000000cc';
/** Time in ms within which a cancellation is refused. */
const REFUSAL_MS = 100;

let outcomes: string[] = [];
let report: CancellationReport;

Before(() => {
  outcomes = [];
});

function findMember(id: string): TestMember {
  const member = getWorld().members.find(each => each.id === id);
  assert.ok(member);
  return member;
}

When(
  'writes of {string} take effect {int} ms late',
  (id: string, lateMs: number) => {
    Object.assign(findMember(id).faults, {lateWrites: 1, lateMs});
  },
);

When('writes of {string} take effect at once', (id: string) => {
  findMember(id).faults.lateWrites = 0;
});

When('a workflow is submitted through {string}', async (id: string) => {
  const {outcome} = await getWorld().submit(findMember(id), {}, ID);
  outcomes.push(outcome);
});

When('the workflow is cancelled through {string}', async (id: string) => {
  const {intake} = findMember(id).entry;
  outcomes.push(await settle(intake.cancel(QUEUE, ID, ANYBODY)));
});

When(
  '{int} unknown ids are cancelled through {string}',
  async (count: number, id: string) => {
    const {intake} = findMember(id).entry;
    const cancel = (_: unknown, index: number) =>
      intake.cancel(QUEUE, index.toString(16).padStart(16, '0'), ANYBODY);
    const cancels = Promise.all(Array.from({length: count}, cancel));
    outcomes = await settle(cancels, REFUSAL_MS);
  },
);

Then('the outcomes are {string}', (expected: string) =>
  assert.equal(outcomes.join(', '), expected),
);

Then('no task of the workflow was started', () =>
  assert.equal(countStarts(getWorld(), ID), 0),
);

Then('no withdrawal is stored', () =>
  assert.deepEqual(getWorld().keyValue.list(WITHDRAWAL_PREFIX).entries, []),
);

Then(
  'at most {int} of them are withdrawn, and the others are refused at once',
  (limit: number) => {
    const isWithdrawn = (each: string) => each === CancelOutcome.Withdrawn;
    const withdrawn = outcomes.filter(isWithdrawn).length;
    assert.ok(withdrawn > 0 && withdrawn <= limit, String(withdrawn));
    const others = outcomes.filter(each => !isWithdrawn(each));
    assert.ok(others.every(each => each === CancelOutcome.Unavailable));
  },
);

When(
  '{int} random histories of submissions and cancellations are played with seed {int}',
  async (count: number, seed: number) => {
    report = await playCancellations(count, seed);
  },
);

Then('no cancelled workflow runs on', () =>
  assert.deepEqual(report.violations, []),
);

Then(
  'the histories have at least {int} submissions and cancellations that are withdrawn',
  (minimum: number) => {
    const {outcomes} = report;
    assert.ok(
      outcomes['submit withdrawn'] >= minimum,
      JSON.stringify(outcomes),
    );
    assert.ok(
      outcomes['cancel withdrawn'] >= minimum,
      JSON.stringify(outcomes),
    );
  },
);
